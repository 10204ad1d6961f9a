/**
 * An upgrade under load: how an older process of a dispatcher transfers its work to a newer one that is started beside
 * it.
 *
 * <p>{@link elderseam.handover.HandoverSender} and {@link elderseam.handover.HandoverReceiver} are the decisions of the
 * two sides, without I/O. {@link elderseam.handover.HandoverChannel} carries {@link elderseam.handover.HandoverFrame}s
 * over a Unix domain socket, on threads of its own; {@link elderseam.handover.HandoverListener} accepts such channels,
 * and {@link elderseam.handover.HandoverFrameCodec} defines the bytes. {@link elderseam.handover.OwnershipLock} says
 * which process owns the state directory. {@code elderseam.app} carries the decisions out ({@code
 * OwnershipAcquisition}, {@code OwnershipTransfer}).
 */
package elderseam.handover;
