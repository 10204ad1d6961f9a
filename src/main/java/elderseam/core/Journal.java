package elderseam.core;

import static elderseam.core.JournalRecords.HEAD;
import static elderseam.core.JournalRecords.encode;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What must outlast the process: each message taken on, its attempts, its end, and whether that was told. One file of
 * records (length, checksum, content), appended to; a torn tail is cut off. When it has grown, what still counts is
 * written to a new file that takes its place, so the two together must stay under the cap: half of it, less a margin,
 * is what may count at any time. A message for which there is no room is not taken on.
 */
public final class Journal implements AutoCloseable {
    private static final int MARGIN = 16 << 10;
    private static final byte[] NONE = {};

    private final JournalStore store;
    private final long cap;
    private final Clock clock;
    private final Map<String, JournalEntry> entries = new LinkedHashMap<>();
    private final JournalKeys keys = new JournalKeys();
    private final Set<String> detached = new LinkedHashSet<>();
    private long detachedBytes;
    private long size;
    private long live;
    private boolean letGo; // another process has it
    private int sweepAt = 1_024; // entries, at which those no longer kept are looked for

    public Journal(Path folder, long capBytes, Clock clock) throws IOException {
        this(new JournalFiles(folder), capBytes, clock);
    }

    /** On a store of another kind. */
    public Journal(JournalStore store, long capBytes, Clock clock) throws IOException {
        this.store = store;
        this.cap = capBytes - MARGIN;
        this.clock = clock;
        replay();
    }

    /** What is kept beside the journal under that name. */
    JournalStore aside(String name) throws IOException {
        return store.aside(name);
    }

    // ---------------------------------------------------------------- what is told

    /** False where there is no room: then nothing was written. */
    public boolean taken(ActiveRequest.Message m) {
        byte[] record = JournalRecords.taken(m, clock.toWall(m.deadline()), clock.toWall(m.rememberUntil()));
        byte[] key = m.same().isEmpty() ? NONE : JournalRecords.keyed(m.id(), m.same());
        if (2 * (live + record.length + key.length + JournalEntry.BOOKKEEPING) > cap
                || key.length > 0 && !append(key)
                || !append(record)) {
            return false;
        }
        keys.put(m.id(), m.same());
        put(m, record.length + key.length);
        return true;
    }

    /** Taken on as the same as another message, for whose end it waits; its body is not kept. False where there is no room. */
    public boolean joined(ActiveRequest.Message m) {
        byte[] record = JournalRecords.joined(m, clock.toWall(m.deadline()), clock.toWall(m.rememberUntil()));
        if (2 * (live + record.length + JournalEntry.BOOKKEEPING) > cap || !append(record)) {
            return false;
        }
        put(m, record.length);
        entries.get(m.id()).joined = true;
        return true;
    }

    /** Keeps what is needed to tell keys of that scheme again, for as long as one is remembered; false where there is no room. */
    public boolean scheme(String name, byte[] text) {
        byte[] record = JournalRecords.scheme(name, text);
        if (keys.has(name, text)) {
            keys.current(name, text);
            return true;
        }
        if (2 * (live + record.length) > cap || !append(record)) {
            return false;
        }
        keys.current(name, text);
        live += record.length;
        return true;
    }

    /** An operator takes a host out of use, or gives it back; false where there is no room for that. */
    boolean detach(String host, boolean out) {
        byte[] record = JournalRecords.detached(host, out);
        if (detached.contains(host) == out) {
            return true;
        }
        if (out && 2 * (live + record.length) > cap || !append(record)) {
            return false;
        }
        detached(host, out, record.length);
        return true;
    }

    private void detached(String host, boolean out, int bytes) {
        if (out ? detached.add(host) : detached.remove(host)) {
            live += out ? bytes : -bytes;
            detachedBytes += out ? bytes : -bytes;
        }
    }

    /** The hosts that are taken out of use. */
    Set<String> detached() {
        return Set.copyOf(detached);
    }

    /** No scheme yields keys any more. */
    public void noScheme() {
        keys.none();
    }

    /** The schemes of which keys are remembered, or that were kept last, with their texts. */
    public Map<String, byte[]> schemes() {
        sweep();
        return keys.schemes();
    }

    private void put(ActiveRequest.Message m, int bytes) {
        JournalEntry e = new JournalEntry(m.front(), clock.toWall(m.rememberUntil()));
        e.message = m;
        e.size = bytes;
        put(m.id(), e);
    }

    private void put(String id, JournalEntry e) {
        JournalEntry old = entries.put(id, e);
        live += e.weight() - (old == null ? 0 : old.weight());
    }

    /** An attempt is about to leave; false where that could not be written. */
    public boolean sent(String id) {
        long now = clock.wallMs();
        if (!append(encode(JournalRecords.SENT, id, out -> out.writeLong(now)))) {
            return false;
        }
        known(id).ifPresent(e -> e.sent(now));
        return true;
    }

    private Optional<JournalEntry> known(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    public void result(String id, boolean mayHaveRun) {
        append(encode(JournalRecords.RESULT, id, out -> out.writeBoolean(mayHaveRun)));
        known(id).ifPresent(e -> e.result(mayHaveRun));
    }

    /** The end of a message; {@code owned}: its client waits to be told. */
    public void ended(ActiveRequest.Message m, FinalOutcome answer, boolean owned) {
        boolean owed =
                owned && (answer.kind() == FinalOutcome.Kind.REFUSED || answer.kind() == FinalOutcome.Kind.FAILED);
        JournalEntry e = new JournalEntry(m.front(), clock.toWall(m.rememberUntil()));
        e.answer = answer;
        e.owed = owed;
        append(e.end(m.id()));
        putEnd(m.id(), e);
        if (entries.size() >= sweepAt) { // not only when the file is full: ids are new for ever
            sweep();
            sweepAt = Math.max(1_024, 2 * entries.size());
        }
    }

    private void sweep() {
        long now = clock.wallMs();
        entries.entrySet().removeIf(x -> {
            JournalEntry e = x.getValue();
            boolean past = e.answer != null && !e.owed && e.keepMs < now;
            if (past) {
                keys.remove(x.getKey());
            }
            return past;
        });
        live = entries.values().stream().mapToLong(JournalEntry::weight).sum() + keys.weight() + detachedBytes;
    }

    /** A refused message may come again, so its end is not remembered once it is told. */
    private void putEnd(String id, JournalEntry e) {
        put(id, e);
        if (e.answer.kind() == FinalOutcome.Kind.REFUSED && !e.owed) {
            forget(id);
        }
    }

    private void forget(String id) {
        JournalEntry e = entries.remove(id);
        live -= e == null ? 0 : e.weight();
        keys.remove(id);
    }

    public void told(String id) {
        JournalEntry e = entries.get(id);
        if (e != null && e.owed) {
            append(encode(JournalRecords.TOLD, id, out -> {}));
            toldOf(id, e);
        }
    }

    private void toldOf(String id, JournalEntry e) {
        e.owed = false;
        if (e.answer != null && e.answer.kind() == FinalOutcome.Kind.REFUSED) {
            forget(id);
        }
    }

    // ---------------------------------------------------------------- what it knows

    /** How a message ended, or null. */
    public FinalOutcome answer(String id) {
        JournalEntry e = entries.get(id);
        return e == null ? null : e.answer;
    }

    /** How a message with that key ended, where that is final: one that was refused may come again. Null for none. */
    public FinalOutcome answerOf(String same) {
        FinalOutcome a = keys.id(same) == null ? null : answer(keys.id(same));
        return a == null || a.kind() == FinalOutcome.Kind.REFUSED ? null : a;
    }

    /** Those that wait for the end of another, as an earlier process left them. */
    List<ActiveRequest.Message> joined() {
        return entries.values().stream()
                .filter(e -> e.joined && e.answer == null)
                .map(e -> e.message)
                .toList();
    }

    /** The messages without an end, as an earlier process left them, but for those whose call it still has out. */
    List<ActiveRequest> unfinished(Set<String> out) {
        List<ActiveRequest> back = new ArrayList<>();
        entries.forEach((id, e) -> {
            if (e.answer == null && !e.joined && !out.contains(id)) {
                e.result(e.outMs != 0); // an attempt that was out may have run
                back.add(back(e));
            }
        });
        return back;
    }

    /** Those of these that are unfinished; their calls are out. */
    List<ActiveRequest> out(Set<String> ids) {
        return ids.stream()
                .map(entries::get)
                .filter(e -> e != null && e.answer == null && !e.joined)
                .map(this::back)
                .toList();
    }

    private ActiveRequest back(JournalEntry e) {
        ActiveRequest s = new ActiveRequest(e.message);
        s.attempts = e.attempts;
        s.mayHaveRun = e.firstRanMs != 0;
        s.keyUntil = clock.fromWall(e.firstRanMs);
        return s;
    }

    /** Whether anything of that front is unfinished or owed. */
    public boolean owes(byte front) {
        return entries.values().stream().anyMatch(e -> e.front == front && (e.answer == null || e.owed));
    }

    /** The ends that are yet to be told; the bodies are gone. */
    Map<ActiveRequest.Message, FinalOutcome> owed() {
        Map<ActiveRequest.Message, FinalOutcome> owed = new LinkedHashMap<>();
        entries.forEach((id, e) -> {
            if (e.owed) {
                long keep = clock.fromWall(e.keepMs);
                owed.put(
                        new ActiveRequest.Message(id, e.front, 0, 0, 0, keep, keep, false, true, "", new byte[0]),
                        e.answer);
            }
        });
        return owed;
    }

    // ---------------------------------------------------------------- the file

    private boolean append(byte[] record) {
        if (letGo) {
            return false;
        }
        try {
            if (size + record.length + Math.max(0, live) + record.length > cap) {
                compact();
            }
            if (size + record.length > cap) {
                return false;
            }
            store.write(record, size);
            size += record.length;
            return true;
        } catch (IOException e) {
            System.err.println("journal: " + e);
            return false; // what was half written stays behind the end and is written over
        }
    }

    /** Writes what still counts to a new file, which then takes the place of the old one. */
    private void compact() throws IOException {
        sweep();
        JournalStore fresh = store.fresh();
        long at = 0;
        try {
            for (Map.Entry<String, byte[]> x : keys.schemes().entrySet()) {
                at = writeAt(fresh, at, JournalRecords.scheme(x.getKey(), x.getValue()));
            }
            for (String host : detached) {
                at = writeAt(fresh, at, JournalRecords.detached(host, true));
            }
            for (Map.Entry<String, JournalEntry> x : entries.entrySet()) {
                for (byte[] record : x.getValue().records(x.getKey(), keys.of(x.getKey()), clock)) {
                    at = writeAt(fresh, at, record);
                }
            }
            store.replace(fresh);
        } catch (IOException e) {
            fresh.discard();
            throw e;
        }
        size = at;
    }

    private static long writeAt(JournalStore to, long at, byte[] record) throws IOException {
        to.write(record, at);
        return at + record.length;
    }

    private void replay() throws IOException {
        size = JournalReader.read(store, this::apply);
        store.truncate(size);
    }

    private void apply(DataInputStream in, int bytes) throws IOException {
        byte type = in.readByte();
        String id = in.readUTF();
        JournalEntry e = entries.get(id);
        switch (type) {
            case JournalRecords.KEYED -> keys.put(id, in.readUTF());
            case JournalRecords.DETACHED -> detached(id, in.readBoolean(), HEAD + bytes);
            case JournalRecords.SCHEME -> {
                byte[] text = new byte[in.readInt()];
                in.readFully(text);
                keys.current(id, text);
                live += HEAD + bytes;
            }
            case JournalRecords.TAKEN, JournalRecords.JOINED -> {
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
                String same = type == JournalRecords.JOINED ? in.readUTF() : keys.of(id) == null ? "" : keys.of(id);
                put(
                        new ActiveRequest.Message(
                                id,
                                front,
                                cls,
                                tenant,
                                destination,
                                deadline,
                                keep,
                                again,
                                heedsWindow,
                                key,
                                body,
                                same),
                        HEAD + bytes);
                entries.get(id).joined = type == JournalRecords.JOINED;
            }
            case JournalRecords.SENT -> {
                long at = in.readLong();
                known(id).ifPresent(x -> x.sent(at));
            }
            case JournalRecords.RESULT -> {
                boolean mayHaveRun = in.readBoolean();
                known(id).ifPresent(x -> x.result(mayHaveRun));
            }
            case JournalRecords.STATE -> {
                e.attempts = in.readInt();
                e.firstRanMs = in.readLong();
                e.outMs = in.readLong();
            }
            case JournalRecords.ENDED -> {
                JournalEntry end = new JournalEntry(in.readByte(), in.readLong());
                end.answer = new FinalOutcome(FinalOutcome.Kind.values()[in.readByte()], in.readLong());
                end.owed = in.readBoolean();
                putEnd(id, end);
            }
            case JournalRecords.TOLD -> {
                if (e != null) {
                    toldOf(id, e);
                }
            }
            default -> System.err.println("journal: unknown record " + type);
        }
    }

    /** Another process is to write from now on: nothing more is written here until {@link #resume()}. */
    public void letGo() {
        letGo = true;
    }

    /** The other process has ended. Whatever it did to the file before it owned it, what this one knows takes its place. */
    public void resume() {
        letGo = false;
        try {
            compact();
        } catch (IOException e) {
            System.err.println("journal: " + e); // the old file stands, and is appended to as before
        }
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
