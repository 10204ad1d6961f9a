package elderseam.core;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * What must outlast the process: each message taken on, its attempts, its end, and whether that was told. One file of
 * records (length, checksum, content), appended to; a torn tail is cut off. When it has grown, what still counts is
 * written to a new file that takes its place, so the two together must stay under the cap: half of it, less a margin,
 * is what may count at any time. A message for which there is no room is not taken on.
 */
public final class Journal implements AutoCloseable {
    private static final byte TAKEN = 1, SENT = 2, RESULT = 3, ENDED = 4, TOLD = 5, STATE = 6;
    private static final int HEAD = 8, MOST = 256 << 10, WINDOW = 1 << 20;
    private static final int BOOKKEEPING = 512;   // kept free for the later records of each unfinished message
    private static final int MARGIN = 16 << 10;

    /** What the journal knows of a message. Times are wall-clock milliseconds; 0 is never. */
    private static final class Entry {
        final byte front;
        final long keepMs;
        Stream.Message message;     // while unfinished
        int size;                   // of its record, likewise
        int attempts;
        long firstRanMs, outMs;     // first attempt that may have run; the one that is out
        Answer answer;
        boolean owed;

        Entry(byte front, long keepMs) {
            this.front = front;
            this.keepMs = keepMs;
        }

        int weight() {
            return answer == null ? size + BOOKKEEPING : 160;
        }
    }

    private final Path file;
    private final long cap;
    private final Clock clock;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private FileChannel channel;
    private long size;
    private long live;
    private int sweepAt = 1_024;     // entries, at which those no longer kept are looked for

    public Journal(Path folder, long capBytes, Clock clock) throws IOException {
        this.file = folder.resolve("journal");
        this.cap = capBytes - MARGIN;
        this.clock = clock;
        Files.createDirectories(folder);
        Files.deleteIfExists(spare());
        channel = open(file);
        replay();
    }

    private static FileChannel open(Path path) throws IOException {
        return FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    private Path spare() {
        return file.resolveSibling("journal.new");
    }

    // ---------------------------------------------------------------- what is told

    /** False where there is no room: then nothing was written. */
    public boolean taken(Stream.Message m) {
        byte[] record = encode(m, clock.toWall(m.rememberUntil()));
        if (2 * (live + record.length + BOOKKEEPING) > cap || !append(record)) {
            return false;
        }
        put(m, record.length);
        return true;
    }

    private void put(Stream.Message m, int bytes) {
        Entry e = new Entry(m.front(), clock.toWall(m.rememberUntil()));
        e.message = m;
        e.size = bytes;
        put(m.id(), e);
    }

    private void put(String id, Entry e) {
        Entry old = entries.put(id, e);
        live += e.weight() - (old == null ? 0 : old.weight());
    }

    /** An attempt is about to leave; false where that could not be written. */
    public boolean sent(String id) {
        long now = System.currentTimeMillis();
        return append(encode(out -> {
            out.writeByte(SENT);
            out.writeUTF(id);
            out.writeLong(now);
        })) && sent(entries.get(id), now);
    }

    private static boolean sent(Entry e, long wallMs) {
        if (e != null) {
            e.attempts++;
            e.outMs = wallMs;
        }
        return true;
    }

    public void result(String id, boolean mayHaveRun) {
        append(encode(out -> {
            out.writeByte(RESULT);
            out.writeUTF(id);
            out.writeBoolean(mayHaveRun);
        }));
        result(entries.get(id), mayHaveRun);
    }

    private static void result(Entry e, boolean mayHaveRun) {
        if (e != null) {
            e.firstRanMs = mayHaveRun && e.firstRanMs == 0 ? e.outMs : e.firstRanMs;
            e.outMs = 0;
        }
    }

    /** The end of a message; {@code owned}: its client waits to be told. */
    public void ended(Stream.Message m, Answer answer, boolean owned) {
        boolean owed = owned && (answer.kind() == Answer.Kind.REFUSED || answer.kind() == Answer.Kind.FAILED);
        Entry e = new Entry(m.front(), clock.toWall(m.rememberUntil()));
        e.answer = answer;
        e.owed = owed;
        append(endRecord(m.id(), e));
        putEnd(m.id(), e);
        if (entries.size() >= sweepAt) {   // not only when the file is full: ids are new for ever
            sweep();
            sweepAt = Math.max(1_024, 2 * entries.size());
        }
    }

    private void sweep() {
        long now = System.currentTimeMillis();
        entries.values().removeIf(e -> e.answer != null && !e.owed && e.keepMs < now);
        live = entries.values().stream().mapToLong(Entry::weight).sum();
    }

    private byte[] endRecord(String id, Entry e) {
        return encode(out -> {
            out.writeByte(ENDED);
            out.writeUTF(id);
            out.writeByte(e.front);
            out.writeLong(e.keepMs);
            out.writeByte(e.answer.kind().ordinal());
            out.writeLong(e.answer.againNs());
            out.writeBoolean(e.owed);
        });
    }

    /** A refused message may come again, so its end is not remembered once it is told. */
    private void putEnd(String id, Entry e) {
        put(id, e);
        if (e.answer.kind() == Answer.Kind.REFUSED && !e.owed) {
            forget(id);
        }
    }

    private void forget(String id) {
        Entry e = entries.remove(id);
        live -= e == null ? 0 : e.weight();
    }

    public void told(String id) {
        Entry e = entries.get(id);
        if (e != null && e.owed) {
            append(encode(out -> {
                out.writeByte(TOLD);
                out.writeUTF(id);
            }));
            toldOf(id, e);
        }
    }

    private void toldOf(String id, Entry e) {
        e.owed = false;
        if (e.answer != null && e.answer.kind() == Answer.Kind.REFUSED) {
            forget(id);
        }
    }

    // ---------------------------------------------------------------- what it knows

    /** How a message ended, or null. */
    public Answer answer(String id) {
        Entry e = entries.get(id);
        return e == null ? null : e.answer;
    }

    /** The messages without an end, as an earlier process left them. */
    List<Stream> unfinished() {
        List<Stream> back = new ArrayList<>();
        entries.values().forEach(e -> {
            if (e.answer == null) {
                result(e, e.outMs != 0);   // an attempt that was out may have run
                Stream s = new Stream(e.message);
                s.attempts = e.attempts;
                s.mayHaveRun = e.firstRanMs != 0;
                s.keyUntil = clock.fromWall(e.firstRanMs);
                back.add(s);
            }
        });
        return back;
    }

    /** Whether anything of that front is unfinished or owed. */
    public boolean owes(byte front) {
        return entries.values().stream().anyMatch(e -> e.front == front && (e.answer == null || e.owed));
    }

    /** The ends that are yet to be told; the bodies are gone. */
    Map<Stream.Message, Answer> owed() {
        Map<Stream.Message, Answer> owed = new LinkedHashMap<>();
        entries.forEach((id, e) -> {
            if (e.owed) {
                long keep = clock.fromWall(e.keepMs);
                owed.put(new Stream.Message(id, e.front, 0, 0, 0, keep, keep, false, true, "",
                        new byte[0]), e.answer);
            }
        });
        return owed;
    }

    // ---------------------------------------------------------------- the file

    private interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private static byte[] encode(Writing content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            content.to(out);
        } catch (IOException e) {
            throw new IllegalStateException(e);   // memory doesn't fail so
        }
        byte[] record = bytes.toByteArray();
        ByteBuffer.wrap(record).putInt(record.length - HEAD).putInt(checksum(record, HEAD, record.length - HEAD));
        return record;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private boolean append(byte[] record) {
        try {
            if (size + record.length + Math.max(0, live) + record.length > cap) {
                compact();
            }
            if (size + record.length > cap) {
                return false;
            }
            write(channel, record, size);
            size += record.length;
            return true;
        } catch (IOException e) {
            System.err.println("journal: " + e);
            return false;   // what was half written stays behind the end and is written over
        }
    }

    private static void write(FileChannel to, byte[] bytes, long at) throws IOException {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        while (b.hasRemaining()) {
            to.write(b, at + b.position());
        }
    }

    /** Writes what still counts to a new file, which then takes the place of the old one. */
    private void compact() throws IOException {
        sweep();
        FileChannel fresh = open(spare());
        long at = 0;
        try {
            for (Map.Entry<String, Entry> x : entries.entrySet()) {
                Entry e = x.getValue();
                if (e.answer != null) {
                    at = writeAt(fresh, at, endRecord(x.getKey(), e));
                    continue;
                }
                at = writeAt(fresh, at, encode(e.message, e.keepMs));
                at = writeAt(fresh, at, encode(out -> {
                    out.writeByte(STATE);
                    out.writeUTF(x.getKey());
                    out.writeInt(e.attempts);
                    out.writeLong(e.firstRanMs);
                    out.writeLong(e.outMs);
                }));
            }
            Files.move(spare(), file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(spare());
            throw e;
        }
        channel.close();
        channel = fresh;
        size = at;
    }

    private static long writeAt(FileChannel to, long at, byte[] record) throws IOException {
        write(to, record, at);
        return at + record.length;
    }

    private byte[] encode(Stream.Message m, long keepMs) {
        return encode(out -> {
            out.writeByte(TAKEN);
            out.writeUTF(m.id());
            out.writeByte(m.front());
            out.writeInt(m.cls());
            out.writeInt(m.tenant());
            out.writeLong(m.destination());
            out.writeLong(clock.toWall(m.deadline()));
            out.writeLong(keepMs);
            out.writeBoolean(m.again());
            out.writeBoolean(m.heedsWindow());
            out.writeUTF(m.key());
            out.writeInt(m.body().length);
            out.write(m.body());
        });
    }

    /** Reads by the window: a call for each record of a full file took longer than all the rest of a start. */
    private void replay() throws IOException {
        long length = channel.size();
        ByteBuffer window = ByteBuffer.allocate((int) Math.min(length, WINDOW));
        window.flip();
        while (size + HEAD <= length && fill(window, HEAD, size)) {
            int bytes = window.getInt(window.position());
            int sum = window.getInt(window.position() + 4);
            if (bytes <= 0 || bytes > MOST || size + HEAD + bytes > length || !fill(window, HEAD + bytes, size)) {
                break;
            }
            int from = window.position() + HEAD;
            if (checksum(window.array(), from, bytes) != sum) {
                break;
            }
            apply(new DataInputStream(new ByteArrayInputStream(window.array(), from, bytes)), bytes);
            window.position(from + bytes);
            size += HEAD + bytes;
        }
        channel.truncate(size);
    }

    /** Sees to it that the window holds so many bytes from its position on, which is that place of the file. */
    private boolean fill(ByteBuffer window, int bytes, long at) throws IOException {
        if (window.remaining() >= bytes) {
            return true;
        }
        window.compact();
        long from = at + window.position();
        for (int n = 0; window.hasRemaining() && n >= 0; from += Math.max(0, n)) {
            n = channel.read(window, from);
        }
        window.flip();
        return window.remaining() >= bytes;
    }

    private void apply(DataInputStream in, int bytes) throws IOException {
        byte type = in.readByte();
        String id = in.readUTF();
        Entry e = entries.get(id);
        switch (type) {
            case TAKEN -> {
                byte front = in.readByte();
                int cls = in.readInt();
                int tenant = in.readInt();
                long destination = in.readLong();
                long deadline = clock.fromWall(in.readLong());
                long keep = clock.fromWall(in.readLong());
                boolean again = in.readBoolean();
                boolean heedsWindow = in.readBoolean();
                String key = in.readUTF();
                byte[] body = new byte[in.readInt()];
                in.readFully(body);
                put(new Stream.Message(id, front, cls, tenant, destination, deadline, keep, again,
                        heedsWindow, key, body),
                        HEAD + bytes);
            }
            case SENT -> sent(e, in.readLong());
            case RESULT -> result(e, in.readBoolean());
            case STATE -> {
                e.attempts = in.readInt();
                e.firstRanMs = in.readLong();
                e.outMs = in.readLong();
            }
            case ENDED -> {
                Entry end = new Entry(in.readByte(), in.readLong());
                end.answer = new Answer(Answer.Kind.values()[in.readByte()], in.readLong());
                end.owed = in.readBoolean();
                putEnd(id, end);
            }
            case TOLD -> {
                if (e != null) {
                    toldOf(id, e);
                }
            }
            default -> System.err.println("journal: unknown record " + type);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
