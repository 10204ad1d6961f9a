/**
 * XNIO's own package, entered for one class: {@link org.xnio.nio.InheritedListener} needs constructors that only this
 * package sees.
 */
package org.xnio.nio;
