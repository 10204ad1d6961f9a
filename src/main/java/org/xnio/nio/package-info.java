/**
 * XNIO's own package, entered for one class: {@link org.xnio.nio.IoThreadListener} needs constructors that only this
 * package sees.
 */
package org.xnio.nio;
