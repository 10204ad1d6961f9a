package elderseam.handover;

import elderseam.core.EndpointCall.End;
import elderseam.core.EndpointCall.Progress;
import elderseam.core.EndpointCall.Status;
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
    record Give(String list, Handover.Estate estate, boolean drains) implements HandoverFrame {}

    /** The newer process owns the folder. */
    record Owned() implements HandoverFrame {}

    /** Stop waiting for a call. */
    record Abandon(String id, int attempt) implements HandoverFrame {}

    /** A call has ended; {@code late}: its answer came after it had been given up. */
    record Ended(Handover.Passed passed) implements HandoverFrame {}

    default void to(DataOutputStream out) throws IOException {
        out.writeByte(VERSION);
        if (this instanceof Take) {
            out.writeByte(1);
        } else if (this instanceof Give g) {
            out.writeByte(2);
            byte[] list = g.list.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            out.writeInt(list.length);
            out.write(list);
            out.writeInt(g.estate.learned().length);
            out.write(g.estate.learned());
            out.writeBoolean(g.drains);
            out.writeInt(g.estate.out().size());
            for (Handover.Out o : g.estate.out()) {
                out.writeUTF(o.id());
                out.writeInt(o.attempt());
                out.writeUTF(o.host());
                out.writeLong(o.agoNs());
            }
        } else if (this instanceof Owned) {
            out.writeByte(3);
        } else if (this instanceof Abandon a) {
            out.writeByte(4);
            out.writeUTF(a.id);
            out.writeInt(a.attempt);
        } else if (this instanceof Ended e) {
            out.writeByte(5);
            Handover.Passed p = e.passed;
            out.writeUTF(p.id());
            out.writeInt(p.attempt());
            out.writeUTF(p.host());
            out.writeBoolean(p.late());
            out.writeByte(p.end().progress().ordinal());
            out.writeByte(p.end().status().ordinal());
            out.writeLong(p.end().waitNs());
            out.writeDouble(p.end().shareLeft());
            out.writeDouble(p.end().limitPerS());
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
                List<Handover.Out> out = new ArrayList<>();
                for (int n = in.readInt(); n > 0; n--) {
                    out.add(new Handover.Out(in.readUTF(), in.readInt(), in.readUTF(), in.readLong()));
                }
                yield new Give(
                        new String(list, java.nio.charset.StandardCharsets.UTF_8),
                        new Handover.Estate(learned, out),
                        drains);
            }
            case 3 -> new Owned();
            case 4 -> new Abandon(in.readUTF(), in.readInt());
            case 5 ->
                new Ended(new Handover.Passed(
                        in.readUTF(),
                        in.readInt(),
                        in.readUTF(),
                        in.readBoolean(),
                        new End(
                                Progress.values()[in.readByte()],
                                Status.values()[in.readByte()],
                                in.readLong(),
                                in.readDouble(),
                                in.readDouble())));
            default -> throw new IOException("unknown frame " + type);
        };
    }
}
