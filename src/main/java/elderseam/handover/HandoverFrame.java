package elderseam.handover;

import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Handover;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What travels over the link, decoded once. */
public sealed interface HandoverFrame {
    /** A frame of the link's first version; another version is refused by closing the link. */
    byte VERSION = 1;

    int MOST = 8 << 20;

    /** The newer process is warm: it asks for everything. */
    record Take() implements HandoverFrame {}

    /** All that the older process passes on: the list of hosts in discovery's form, what its module has learned, whether a drain by
     *  hand lasts, the calls that are out. The journal has the rest. */
    record Give(String list, Handover.State estate, boolean drains) implements HandoverFrame {}

    /** The newer process owns the folder. */
    record Owned() implements HandoverFrame {}

    /** Stop waiting for a call. */
    record Abandon(String id, int attempt) implements HandoverFrame {}

    /** A call has ended; {@code late}: its answer came after it had been given up. */
    record Ended(Handover.ForwardedOutcome passed) implements HandoverFrame {}

    default void to(DataOutputStream out) throws IOException {
        out.writeByte(VERSION);
        if (this instanceof Take) {
            out.writeByte(1);
        } else if (this instanceof Give g) {
            out.writeByte(2);
            byte[] list = g.list.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            out.writeInt(list.length);
            out.write(list);
            out.writeInt(g.estate.policySnapshot().length);
            out.write(g.estate.policySnapshot());
            out.writeBoolean(g.drains);
            out.writeInt(g.estate.inFlight().size());
            for (Handover.InFlightAttempt o : g.estate.inFlight()) {
                out.writeUTF(o.requestId());
                out.writeInt(o.attempt());
                out.writeUTF(o.endpoint());
                out.writeLong(o.ageNs());
            }
        } else if (this instanceof Owned) {
            out.writeByte(3);
        } else if (this instanceof Abandon a) {
            out.writeByte(4);
            out.writeUTF(a.id);
            out.writeInt(a.attempt);
        } else if (this instanceof Ended e) {
            out.writeByte(5);
            Handover.ForwardedOutcome p = e.passed;
            out.writeUTF(p.requestId());
            out.writeInt(p.attempt());
            out.writeUTF(p.endpoint());
            out.writeBoolean(p.late());
            out.writeByte(p.outcome().progress().ordinal());
            out.writeByte(p.outcome().status().ordinal());
            out.writeLong(p.outcome().waitNs());
            out.writeDouble(p.outcome().shareLeft());
            out.writeDouble(p.outcome().limitPerS());
        }
    }

    static HandoverFrame from(DataInputStream in) throws IOException {
        byte version = in.readByte();
        if (version != VERSION) {
            throw new IOException("the other process speaks version " + version + ", this one " + VERSION);
        }
        byte type = in.readByte();
        return switch (type) {
            case 1 -> new Take();
            case 2 -> {
                byte[] list = in.readNBytes(in.readInt());
                byte[] learned = in.readNBytes(in.readInt());
                boolean drains = in.readBoolean();
                List<Handover.InFlightAttempt> out = new ArrayList<>();
                for (int n = in.readInt(); n > 0; n--) {
                    out.add(new Handover.InFlightAttempt(in.readUTF(), in.readInt(), in.readUTF(), in.readLong()));
                }
                yield new Give(
                        new String(list, java.nio.charset.StandardCharsets.UTF_8),
                        new Handover.State(learned, out),
                        drains);
            }
            case 3 -> new Owned();
            case 4 -> new Abandon(in.readUTF(), in.readInt());
            case 5 ->
                new Ended(new Handover.ForwardedOutcome(
                        in.readUTF(),
                        in.readInt(),
                        in.readUTF(),
                        in.readBoolean(),
                        new AttemptOutcome(
                                Progress.values()[in.readByte()],
                                Status.values()[in.readByte()],
                                in.readLong(),
                                in.readDouble(),
                                in.readDouble())));
            default -> throw new IOException("unknown frame " + type);
        };
    }
}
