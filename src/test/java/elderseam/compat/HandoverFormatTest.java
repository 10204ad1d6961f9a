package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Answer;
import elderseam.core.Clock;
import elderseam.core.Handover;
import elderseam.core.Handover.Estate;
import elderseam.core.Handover.Out;
import elderseam.core.Handover.Passed;
import elderseam.core.Json;
import elderseam.core.UpstreamRequest.End;
import elderseam.core.UpstreamRequest.Progress;
import elderseam.core.UpstreamRequest.Status;
import elderseam.upgrade.Frame;
import elderseam.upgrade.Link;
import elderseam.upgrade.Taking;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A hand-over as an earlier build sends it, frame by frame and from end to end; the test is the older process, on the raw socket. */
@Timeout(30)
class HandoverFormatTest {
    private static final String FRAMES = "handover/frames.hex";
    private static final Frame.Give GIVE = new Frame.Give("{\"version\":3,\"zone\":\"Österreich\"}", new Estate(new byte[] {1, -2, 3},
            List.of(new Out("m1", 1, "a1", 5_000_000_000L), new Out("m2", 0, "b1", 7))), true);

    @TempDir
    Path folder;

    private ServerSocketChannel server;
    private SocketChannel older;
    private Link link;

    @BeforeEach
    void connect() throws IOException {
        server = ServerSocketChannel.open(StandardProtocolFamily.UNIX).bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
        link = Link.connect(folder);
        older = server.accept();
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        older.close();
        server.close();
    }

    /** Every kind of frame, and an end with every progress and status, in the order of the resource. */
    private static List<Frame> frames() {
        List<Frame> all = new ArrayList<>(List.of(new Frame.Take(), GIVE, new Frame.Owned(), new Frame.Abandon("m1", 3)));
        for (Progress p : List.of(Progress.NOT_CONNECTED, Progress.PARTLY_WRITTEN, Progress.WRITTEN, Progress.ANSWERED)) {
            all.add(new Frame.Ended(new Passed("m1", 2, "a1", false, new End(p, Status.BROKEN, 0, 0, 0))));
        }
        for (Status s : List.of(Status.DELIVERED, Status.ERROR, Status.FULL, Status.NO_SLOT, Status.SPENT, Status.OVER, Status.BROKEN,
                Status.TIMED_OUT, Status.ABANDONED, Status.HELD)) {
            all.add(new Frame.Ended(new Passed("m2", 5, "b1", true, new End(Progress.ANSWERED, s, 9, 0.25, 30))));
        }
        return all;
    }

    private void olderSends(byte[] record) throws IOException {
        for (ByteBuffer b = ByteBuffer.wrap(record); b.hasRemaining(); ) {
            older.write(b);
        }
    }

    private void olderReads(byte[] record) throws IOException {
        ByteBuffer b = ByteBuffer.allocate(record.length);
        while (b.hasRemaining()) {
            assertTrue(older.read(b) >= 0, "the link has ended");
        }
        assertArrayEquals(record, b.array());
    }

    /** Records hold arrays, so that a Give is compared by its parts. */
    private static void assertSame(Frame expected, Frame actual) {
        if (expected instanceof Frame.Give e && actual instanceof Frame.Give a) {
            assertArrayEquals(e.estate().learned(), a.estate().learned());
            assertEquals(List.of(e.list(), e.estate().out(), e.drains()), List.of(a.list(), a.estate().out(), a.drains()));
        } else {
            assertEquals(expected, actual);
        }
    }

    @Test
    void everyFrameIsReadAndWrittenAsBefore() throws Exception {
        if (Recorded.wanted(FRAMES)) {
            Recorded.assertRecords(FRAMES, frames().stream().map(OlderProcess::sent).toList());
        }
        List<byte[]> records = Recorded.records(FRAMES);
        List<Frame> frames = frames();
        assertEquals(frames.size(), records.size());
        for (int i = 0; i < frames.size(); i++) {
            olderSends(records.get(i));
            assertSame(frames.get(i), link.await());
            link.send(frames.get(i));
            olderReads(records.get(i));
        }
    }

    /** Every constant has a frame in the resource, and none was left out when one was added. */
    @Test
    void noProgressOrStatusLacksAFrame() {
        assertEquals(4 + Progress.values().length + Status.values().length, frames().size());
    }

    /** One at the time at which the older one passed its work on. */
    private static CoreProcess newer(byte[] journal) throws IOException {
        return new CoreProcess(CoreProcess.store(journal), new ManualClock(OlderProcess.PASSED_ON_NS));
    }

    private static Estate passedOnAgain(CoreProcess newer, Estate given) {
        newer.relay.handover().takeOver(given, o -> { });
        return newer.relay.handover().passOn(p -> { });
    }

    /**
     * What it would pass on itself is what it was given: the calls that are out, and all that was learned, byte for byte. The latter
     * without the journal, since each message that is taken back counts against its tenant.
     */
    private static void assertTakesOverAll(Estate given) throws IOException {
        assertArrayEquals(given.learned(), passedOnAgain(newer(new byte[0]), given).learned());
        Comparator<Out> byId = Comparator.comparing(Out::id);
        assertEquals(given.out().stream().sorted(byId).toList(),
                passedOnAgain(newer(Recorded.bytes(OlderProcess.JOURNAL)), given).out().stream().sorted(byId).toList());
    }

    @Test
    void anEarlierBuildHandsOver() throws Exception {
        OlderProcess.recordIfWanted();
        List<byte[]> toNewer = Recorded.records(OlderProcess.TO_NEWER), toOlder = Recorded.records(OlderProcess.TO_OLDER);
        Taking taking = new Taking();
        assertEquals(Taking.Step.WARM, taking.looked(true, false));
        assertEquals(Taking.Step.ASK, taking.warm());
        link.send(new Frame.Take());
        olderReads(toOlder.get(0));
        olderSends(toNewer.get(0));
        Frame.Give given = (Frame.Give) link.await();
        assertEquals(Taking.Step.TAKE, taking.given(true));
        assertTakesOverAll(given.estate());

        CoreProcess newer = newer(Recorded.bytes(OlderProcess.JOURNAL));
        Handover handover = newer.relay.handover();
        handover.takeOver(given.estate(), o -> link.send(new Frame.Abandon(o.id(), o.attempt())));
        newer.discovery.takenOver(Json.read(given.list().getBytes(StandardCharsets.UTF_8)));
        assertEquals(given.list(), newer.discovery.list());
        List<String> breakers = new ArrayList<>();
        newer.relay.breakers((destination, b) -> breakers.add(destination + " " + b.standing() + (b.waitNs() > 0 ? " waits" : "")));
        assertEquals(List.of("1 CLOSED", "2 OPEN", "3 CLOSED waits", "4 CLOSED"), breakers.stream().sorted().toList());
        assertTrue(given.drains());
        link.send(new Frame.Owned());
        olderReads(toOlder.get(1));
        newer.relay.recover(() -> 0, () -> { });
        handover.abandon("late", 0);
        olderReads(toOlder.get(2));
        for (byte[] record : toNewer.subList(1, toNewer.size())) {
            olderSends(record);
            handover.passed(((Frame.Ended) link.await()).passed());
            newer.pass(0);
        }
        older.close();
        assertEquals(null, link.await());
        assertEquals(Taking.Step.SETTLE, taking.lost());
        handover.unheard();
        newer.pass(300 * Clock.MS);
        for (String id : List.of("lead", "copy", "late")) {
            assertEquals(Answer.DELIVERED, newer.journal.answer(id), id);
        }
        newer.ends("lost", CoreProcess.DELIVERED);   // it may be repeated by its key, and was tried again
        assertEquals(Answer.DELIVERED, newer.journal.answer("lost"));
        assertEquals(newer.ended.stream().distinct().toList(), newer.ended, "no end is told twice");
    }
}
