package elderseam.http;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.EventLoop;
import elderseam.core.StallDetector;
import elderseam.logging.EventLogger;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * The one I/O thread, which owns everything, its timers and its buffers. Its tasks wait while it is {@link #isStalled}: after
 * a pause XNIO runs each timer that has come due before it looks at a socket, and would so give up calls whose answers
 * lie there.
 */
public final class IoLoop implements EventLoop {
    private static final EventLogger LOG = EventLogger.of(IoLoop.class);

    private static final int BUFFER = 16 << 10, BUFFERS = 256, CACHED = 16;
    private static final long NOTEWORTHY_NS = 100 * Clock.MS;

    final XnioWorker worker;
    final XnioIoThread thread;
    final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, BUFFERS, CACHED);
    public final Clock clock;
    private final StallDetector stallDetector;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>(); // bounded as the timers are: each is in here once
    private final ArrayDeque<Runnable> reading = new ArrayDeque<>(); // waits for a pass over the sockets
    private final ByteBuffer one = ByteBuffer.allocateDirect(16);
    private StreamSinkChannel marker;
    private boolean marked, catchingUp;
    private LongConsumer away = ns -> {};

    public IoLoop(Clock clock) throws IOException {
        this.clock = clock;
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.WORKER_NAME, "elderseam")
                        .getMap());
        this.thread = worker.getIoThread();
        this.stallDetector = new StallDetector(clock.now());
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe = thread.createHalfDuplexPipe();
        marker = pipe.getRightSide();
        pipe.getLeftSide().getReadSetter().set(this::passed);
        pipe.getLeftSide().resumeReads();
        thread.execute(() -> beatAgain(stallDetector.heartbeat(clock.now())));
    }

    /** Told how long the thread was away, in nanoseconds, once what had arrived meanwhile was read. */
    public void onAway(LongConsumer away) {
        this.away = away;
    }

    /** The worker, for sockets of other kinds than HTTP's; its one I/O thread is {@link #thread()}. */
    public XnioWorker worker() {
        return worker;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** Runs a task on the I/O thread now or soon. */
    public void run(Runnable task) {
        thread.execute(() -> inTime(task));
    }

    /** Runs a task on the I/O thread at that time; the key takes it back. */
    public XnioExecutor.Key timer(long time, Runnable task) {
        long delay = Math.max(0, time - clock.now());
        return thread.executeAfter(() -> inTime(task), delay, TimeUnit.NANOSECONDS);
    }

    @Override
    public void at(long time, Runnable task) {
        timer(time, task);
    }

    /** The longest that the thread was away so far, in nanoseconds. */
    public long longestAway() {
        return stallDetector.longestNs();
    }

    private void beatAgain(long due) {
        thread.executeAfter(
                () -> {
                    isStalled();
                    beatAgain(stallDetector.heartbeat(clock.now()));
                },
                Math.max(0, due - clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public boolean isStalled() {
        if (stallDetector.isStalled(clock.now()) && !catchingUp) {
            catchingUp = true;
            afterReading(this::caughtUp);
        }
        return catchingUp;
    }

    private void caughtUp() {
        catchingUp = false;
        long ns = stallDetector.endStall();
        if (ns > NOTEWORTHY_NS) {
            LOG.warn("io.stalled", field("duration_ms", ns / Clock.MS));
        }
        guarded(() -> away.accept(ns));
        for (int left = deferred.size(); left > 0; left--) {
            guarded(deferred.poll());
        }
    }

    /**
     * A byte through a pipe: it is read in a pass over the sockets, and tasks run after such a pass. Nothing less tells
     * that a pass was made: a task that is due at once runs before the next one.
     */
    @Override
    public void afterReading(Runnable task) {
        reading.add(task);
        if (!marked) {
            marked = true;
            one.clear().limit(1);
            try {
                marker.write(one);
            } catch (IOException e) {
                throw new IllegalStateException("the I/O thread's own pipe", e);
            }
        }
    }

    private void passed(StreamSourceChannel from) {
        one.clear();
        try {
            while (from.read(one) > 0) {
                one.clear();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the I/O thread's own pipe", e);
        }
        marked = false;
        int waiting = reading.size();
        thread.execute(
                () -> { // the other sockets of this pass come first
                    for (int left = waiting; left > 0; left--) {
                        guarded(reading.poll());
                    }
                });
    }

    private void inTime(Runnable task) {
        if (isStalled()) {
            deferred.add(task);
        } else {
            guarded(task);
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) { // the loop goes on whatever a task throws
            LOG.error("io.task_failed", e);
        }
    }
}
