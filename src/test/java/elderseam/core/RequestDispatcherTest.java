package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.EndpointCall.End;
import elderseam.core.EndpointCall.Progress;
import elderseam.core.EndpointCall.Status;
import elderseam.policy.BreakerState;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicySettings;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The core without any wire. */
class RequestDispatcherTest {
    @TempDir
    Path folder;

    private final Clock clock = new Clock();
    private final List<Runnable> timers = new ArrayList<>(), soon = new ArrayList<>();
    private final List<Consumer<End>> out = new ArrayList<>();
    private final List<AttemptListener> attempts = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private RequestDispatcher relay;
    private boolean late;

    @BeforeEach
    void start() throws Exception {
        relay = another();
        relay.hosts(ListUpdateKind.COMPLETE, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
    }

    /** One more on the same folder, as the next process has it. */
    private RequestDispatcher another() throws Exception {
        return another(new Journal(folder, 1_000_000, clock));
    }

    private RequestDispatcher another(Journal journal) {
        PolicySettings settings = new SettingsMap(Map.of(
                        "discovery",
                        "ask",
                        "extra.callSlots",
                        "40",
                        "limits.mostHeld",
                        "64",
                        "limits.maxAttempts",
                        "3",
                        "services.count",
                        "1",
                        "services.0.effect",
                        "once",
                        "services.0.targetNs",
                        "2000000000",
                        "services.0.giveUpNs",
                        "9000000000"))
                .settings();
        RequestDispatcher relay = new RequestDispatcher(settings, 1, journal, clock, new EventLoop() {
            @Override
            public void at(long time, Runnable task) {
                (time <= clock.now() ? soon : timers).add(task);
            }

            @Override
            public void afterReading(Runnable task) {
                timers.add(task);
            }

            @Override
            public boolean late() {
                return late;
            }
        });
        relay.front((byte) 0, (m, answer) -> ended.add(m.id() + " " + answer.kind()), new AttemptSender() {
            @Override
            public EndpointCall send(
                    ActiveRequest.Message m, String host, long connectBy, long answerBy, AttemptListener attempt) {
                out.add(end -> {
                    attempt.ended(end);
                    settle();
                });
                attempts.add(attempt);
                return () -> attempt.ended(End.unanswered(Progress.WRITTEN, Status.ABANDONED));
            }

            @Override
            public void closeIdle(String host) {}
        });
        return relay;
    }

    /** What is to be done at once is done. */
    private void settle() {
        List<Runnable> due = List.copyOf(soon);
        soon.clear();
        due.forEach(Runnable::run);
    }

    private FinalOutcome take(String id) {
        long by = clock.now() + 9_000 * Clock.MS;
        return relay.take(new ActiveRequest.Message(id, (byte) 0, 0, -1, 1, by, by, false, true, "", new byte[0]));
    }

    /** A tick that comes early must leave one timer, not one more for each: they would add up for ever. */
    @Test
    void timersDoNotAddUp() {
        take("a"); // its call may come to be overdue: a tick in a second
        out.get(0).accept(new End(Progress.ANSWERED, Status.NO_SLOT, 0, 0, 0)); // to be tried again: one in 5 ms
        assertEquals(2, timers.size());
        for (int round = 0; round < 5; round++) {
            List<Runnable> due = List.copyOf(timers);
            timers.clear();
            due.forEach(Runnable::run);
        }
        assertEquals(1, timers.size());
    }

    /** A failed watch has nothing to do but to be asked for later: the tick for that must not get lost. */
    @Test
    void aTickIsSetWhereNothingElseIsDone() {
        relay.hosts(ListUpdateKind.FAILED, List.of());
        assertEquals(1, timers.size());
    }

    /** No destination of the list: nobody could deliver it, so it is not taken on, and the journal never hears of it. */
    @Test
    void anUnknownDestinationIsRefused() throws Exception {
        long by = clock.now() + 9_000 * Clock.MS;
        FinalOutcome answer =
                relay.take(new ActiveRequest.Message("x", (byte) 0, 0, -1, 99, by, by, false, true, "", new byte[0]));
        assertEquals(FinalOutcome.Kind.REFUSED, answer.kind());
        assertEquals(0, Files.size(folder.resolve("journal")));
        relay.hosts(ListUpdateKind.CHANGES, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.GONE, 100)));
        assertNull(take("y"), "its last host left a moment ago: another may follow");
    }

    /** One final answer, whatever comes after it, and a repeated id is not taken twice. */
    @Test
    void eachStreamEndsOnce() {
        assertNull(take("a"));
        assertNull(take("a"));
        assertEquals(1, out.size());
        out.get(0).accept(End.unanswered(Progress.WRITTEN, Status.BROKEN));
        assertEquals(List.of("a FAILED"), ended);
        assertEquals(FinalOutcome.FAILED, take("a"));
        assertNull(take("b"));
        out.get(1).accept(new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0));
        assertEquals(List.of("a FAILED", "b DELIVERED"), ended);
        assertEquals(FinalOutcome.DELIVERED, take("b"));
        assertEquals(0, relay.held() + relay.out());
    }

    /**
     * A journal that can't record an attempt holds it back here: the host was never asked, so it must not be blamed. It was
     * counted as a failed connection, which tripped the breaker of a sound host on a full disk.
     */
    @Test
    void anAttemptTheJournalCouldNotRecordBlamesNoHost() throws Exception {
        int[] writes = new int[1]; // so many more succeed
        InMemoryJournalStore memory = new InMemoryJournalStore();
        relay = another(new Journal(
                new JournalStore() {
                    @Override
                    public JournalStore aside(String name) {
                        return new InMemoryJournalStore();
                    }

                    public long length() {
                        return memory.length();
                    }

                    public int read(ByteBuffer to, long at) {
                        return memory.read(to, at);
                    }

                    public void write(byte[] bytes, long at) throws IOException {
                        if (writes[0]-- <= 0) {
                            throw new IOException("no space left on device");
                        }
                        memory.write(bytes, at);
                    }

                    public void truncate(long length) {
                        memory.truncate(length);
                    }

                    public JournalStore fresh() {
                        return memory.fresh();
                    }

                    public void replace(JournalStore fresh) {
                        memory.replace(fresh);
                    }

                    public void discard() {
                        memory.discard();
                    }

                    public void close() {}
                },
                1_000_000,
                clock));
        writes[0] = 1_000;
        relay.hosts(ListUpdateKind.COMPLETE, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        for (String id : List.of("a", "b", "c", "d", "e")) {
            writes[0] = 1; // its record, not that of its attempt
            assertNull(take(id));
            settle();
        }
        assertEquals(0, out.size(), "nothing unrecorded left");
        int[] failed = {-1};
        relay.breakers((destination, b) -> failed[0] = b.failures());
        assertEquals(0, failed[0], "the host was never asked");
    }

    /** Journal before the 202: where it has no room for a message, the message is refused with a time to come back, never sent. */
    @Test
    void noRoomInTheJournalRefusesAtOnce() throws Exception {
        relay = another(new Journal(Files.createDirectory(folder.resolve("small")), 1_000, clock));
        relay.hosts(ListUpdateKind.COMPLETE, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        FinalOutcome answer = take("a");
        assertEquals(FinalOutcome.Kind.REFUSED, answer.kind());
        assertTrue(answer.againNs() > 0, "it says when to come back");
        assertEquals(0, out.size());
        assertEquals(0, relay.held());
    }

    /** Written, then timed out, broken or given up: a once-only message may have run, so it fails and never goes again. */
    @Test
    void aWrittenAttemptWithoutAnAnswerMayHaveRun() {
        List<Status> ways = List.of(Status.TIMED_OUT, Status.BROKEN, Status.ABANDONED);
        for (Status way : ways) {
            take(way.name());
            out.get(out.size() - 1).accept(End.unanswered(Progress.WRITTEN, way));
        }
        assertEquals(ways.size(), out.size(), "none was sent again");
        assertEquals(ways.stream().map(w -> w + " FAILED").toList(), ended);
    }

    /** An attempt that was out when the process ended may have run: the next process fails a once-only message, never sends it. */
    @Test
    void aRestartSendsNoOnceOnlyMessageThatMayHaveRun() throws Exception {
        take("a");
        assertEquals(1, out.size());
        RequestDispatcher next = another();
        next.hosts(ListUpdateKind.COMPLETE, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        next.recover(() -> 0, () -> {});
        settle();
        assertEquals(1, out.size(), "not sent again");
        assertEquals(List.of("a FAILED"), ended);
    }

    /** While a wait is told of, an attempt decided before it must not leave: its connection may have taken seconds. */
    @Test
    void aWaitHoldsBackWhatWasDecidedBeforeIt() {
        take("a");
        take("b");
        assertTrue(attempts.get(1).mayLeave());
        out.get(0).accept(new End(Progress.ANSWERED, Status.FULL, 3_000 * Clock.MS, 0, 0));
        assertFalse(attempts.get(1).mayLeave());
        out.get(1).accept(End.unanswered(Progress.NOT_CONNECTED, Status.HELD));
        assertEquals(2, relay.held(), "held back, not over");
        assertEquals(List.of(), ended);
        assertEquals(2, out.size(), "nothing is sent while the wait lasts");
    }

    /** Told by an answer to a call that was given up, a wait holds all the same; a delivery ends the stream, once. */
    @Test
    void aLateAnswerTellsItsWaitAndItsDelivery() {
        take("a");
        out.get(0).accept(End.unanswered(Progress.NOT_CONNECTED, Status.BROKEN)); // to be tried again
        attempts.get(0).answeredLate(new End(Progress.ANSWERED, Status.FULL, 3_000 * Clock.MS, 0, 0));
        settle();
        take("b");
        assertEquals(1, out.size(), "the destination told a wait");
        attempts.get(0).answeredLate(new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0));
        attempts.get(0).answeredLate(new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0));
        assertEquals(List.of("a DELIVERED"), ended);
        assertEquals(1, relay.held());
    }

    /** After a pause a message is taken on, and nothing is decided until what had arrived is read. */
    @Test
    void nothingIsDecidedWhileLate() {
        late = true;
        assertNull(take("a"));
        assertEquals(List.of(), out);
        late = false;
        settle();
        assertEquals(1, out.size());
    }

    private static final End DELIVERED = new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0);

    /** Passed on with calls out: the next one tells each end once, and what the first still hears of them goes there. */
    @Test
    void callsThatAreOutArePassedOn() throws Exception {
        take("a");
        take("b");
        List<Handover.Passed> told = new ArrayList<>();
        Handover.Estate estate = relay.handover().passOn(told::add);
        assertEquals(2, estate.out().size());
        assertFalse(attempts.get(0).mayLeave(), "what has not left must not any more");
        assertEquals(FinalOutcome.Kind.REFUSED, take("c").kind());
        RequestDispatcher next = another();
        List<String> abandoned = new ArrayList<>();
        next.handover().takeOver(estate, o -> abandoned.add(o.id()));
        next.hosts(ListUpdateKind.CACHED, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        next.recover(() -> 0, () -> {});
        assertEquals(List.of(2, 2), List.of(next.held(), next.out()));
        assertEquals(2, out.size(), "nothing is sent again");
        out.get(0).accept(DELIVERED);
        assertEquals(List.of(), ended, "the first one decides nothing any more");
        next.handover().passed(told.get(0));
        next.handover().passed(told.get(0));
        assertEquals(List.of("a DELIVERED"), ended);
        next.handover().unheard();
        next.handover().unheard();
        assertEquals(List.of("a DELIVERED", "b FAILED"), ended, "once-only, and it may have run");
        assertEquals(0, next.held() + next.out());
        out.get(1).accept(DELIVERED);
        next.handover().passed(told.get(1));
        assertEquals(2, ended.size());
        assertEquals(List.of(), abandoned);
    }

    /** Taken back: what was heard meanwhile counts, in the journal too. */
    @Test
    void whatWasNotTakenOverIsKept() throws Exception {
        take("a");
        List<Handover.Passed> told = new ArrayList<>();
        relay.handover().passOn(told::add);
        out.get(0).accept(DELIVERED);
        Files.write(folder.resolve("journal"), new byte[7]); // what the other did before it ended
        relay.handover().keep(told);
        assertEquals(List.of("a DELIVERED"), ended);
        assertNull(take("b"));
        assertEquals(2, out.size());
        out.get(1).accept(DELIVERED);
        RequestDispatcher next = another();
        next.recover(() -> 0, () -> {});
        assertEquals(0, next.held());
        assertEquals(List.of("a DELIVERED", "b DELIVERED"), ended);
    }

    /** A ban is on disk, and whatever the list says the module obeys it. */
    @Test
    void aBanOutlastsListAndProcess() throws Exception {
        assertEquals(RequestDispatcher.Detaching.UNKNOWN, relay.detach("never", true));
        assertEquals(RequestDispatcher.Detaching.DONE, relay.detach("h", true));
        relay.hosts(ListUpdateKind.COMPLETE, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        assertNull(take("a"));
        assertEquals(0, out.size());
        relay = another();
        relay.hosts(ListUpdateKind.CACHED, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        relay.recover(() -> 0, () -> {});
        assertEquals(0, out.size());
        assertTrue(relay.figures(List.of("c")).contains("edge_relay.hosts_down=1"));
        assertEquals(RequestDispatcher.Detaching.DONE, relay.detach("h", false));
        assertEquals(RequestDispatcher.Detaching.DONE, relay.detach("h", false));
        settle();
        assertTrue(relay.figures(List.of("c")).contains("edge_relay.hosts_down=0"));
        relay = another();
        relay.hosts(ListUpdateKind.CACHED, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        assertTrue(relay.figures(List.of("c")).contains("edge_relay.hosts_down=0"));
    }

    /** While much is taken back, answers that are read in one pass are decided on together. */
    @Test
    void answersOfOnePassShareATurnDuringRecovery() {
        relay.recover(() -> 1, () -> {}); // a notice is untold: recovery goes on
        for (int i = 0; i < 6; i++) {
            take("m" + i);
        }
        soon.clear();
        attempts.forEach(a -> a.ended(new End(Progress.ANSWERED, Status.NO_SLOT, 0, 0, 0)));
        assertEquals(1, soon.size());
    }

    private FinalOutcome take(String id, String same, String... also) {
        long by = clock.now() + 9_000 * Clock.MS;
        return relay.take(
                new ActiveRequest.Message(id, (byte) 0, 0, -1, 1, by, by, false, false, "", new byte[0], same),
                List.of(also));
    }

    /** Those with one key: one call; its end is each one's end, and a later one's at once. */
    @Test
    void copiesEndWithTheirFirst() {
        assertNull(take("a", "s:1"));
        assertNull(take("b", "s:1"));
        assertNull(take("c", "t:1", "s:1"), "known by an earlier scheme's key");
        assertNull(take("b", "s:1"), "a repeat of a copy's own id");
        assertNull(take("x", "s:2"));
        assertEquals(2, out.size());
        assertEquals(4, relay.held());
        out.get(0).accept(new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0));
        assertEquals(List.of("a DELIVERED", "b DELIVERED", "c DELIVERED"), ended);
        assertEquals(FinalOutcome.DELIVERED, take("d", "s:1"));
        assertEquals(FinalOutcome.DELIVERED, take("e", "u:1", "s:1"));
        assertTrue(relay.knows("s:1", List.of()) && relay.knows("b") && !relay.knows("s:3", List.of()));
        assertEquals(2, out.size());
    }

    /** Copies count as held, so that a clump with one key is bounded too. */
    @Test
    void copiesCountAsHeld() {
        for (int i = 0; i < 64; i++) {
            assertNull(take("m" + i, "s:1"));
        }
        assertEquals(FinalOutcome.Kind.REFUSED, take("above", "s:1").kind());
        assertEquals(FinalOutcome.Kind.REFUSED, take("another", "s:2").kind());
        out.get(0).accept(new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0));
        assertEquals(64, ended.size());
        assertEquals(0, relay.held());
    }

    // ---------------------------------------------------------------- what was learned, over a crash

    private BreakerState standing(RequestDispatcher of) {
        BreakerState[] s = new BreakerState[1];
        of.breakers((destination, b) -> s[0] = b.state());
        return s[0];
    }

    /** Four failures in a row trip the breaker; a second later that is kept. */
    private void trips() throws Exception {
        relay.handover().remember();
        for (int i = 0; i < 4; i++) {
            take("m" + i);
            out.get(out.size() - 1).accept(new End(Progress.NOT_CONNECTED, Status.BROKEN, 0, 0, 0));
        }
        assertEquals(BreakerState.OPEN, standing(relay));
        List.copyOf(timers).forEach(Runnable::run); // the keeping is among them
    }

    /** The next process on the folder; {@code list}: what it knows of hosts. */
    private RequestDispatcher next() throws Exception {
        RequestDispatcher next = another();
        next.handover().remember();
        next.hosts(ListUpdateKind.CACHED, List.of(new ListedEndpoint("h", 1, 0, 0, EndpointStatus.READY, 100)));
        return next;
    }

    @Test
    void aBreakerOutlastsTheProcess() throws Exception {
        trips();
        assertEquals(BreakerState.OPEN, standing(next()), "the next process does not begin by knocking");
    }

    @Test
    void whatIsTornOldOrOfOtherSettingsIsPassedOver() throws Exception {
        trips();
        Path file = folder.resolve("learned");
        byte[] kept = Files.readAllBytes(file);
        byte[] torn = kept.clone();
        torn[40] ^= 1;
        for (byte[] bytes :
                List.of(torn, new byte[0], java.util.Arrays.copyOf(kept, 30), new byte[PolicySnapshotStore.MOST + 1])) {
            Files.write(file, bytes);
            assertEquals(BreakerState.CLOSED, standing(next()), bytes.length + " bytes");
        }
        JournalStore store = new InMemoryJournalStore();
        new PolicySnapshotStore(store, 7).keep(new byte[] {1, 2, 3});
        assertEquals(3, new PolicySnapshotStore(store, 7).kept().length);
        assertNull(new PolicySnapshotStore(store, 8).kept());
        new PolicySnapshotStore(store, 7).keep(new byte[PolicySnapshotStore.MOST]);
        assertEquals(3, new PolicySnapshotStore(store, 7).kept().length, "one that is too long is left out");
    }
}
