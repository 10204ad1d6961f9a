/**
 * An addition to XNIO's own package: {@link org.xnio.nio.IoThreadListener} needs constructors that are package-private
 * in XNIO.
 */
package org.xnio.nio;
