package elderseam.http;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.EventLoop;
import elderseam.core.PeriodicTask;
import elderseam.core.StallDetector;
import elderseam.logging.EventLogger;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
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
 * The event loop: XNIO's only I/O thread, with its timers and buffers. After a stall, tasks are deferred until all
 * input that arrived during the stall has been read. Without this, XNIO would run all due timers before it reads from
 * any socket, and would time out exchanges whose responses have already arrived. {@link #run}, {@link #schedule} and
 * {@link #at} may be called on any thread, all other methods on the I/O thread only.
 */
public final class IoLoop implements EventLoop {
    private static final EventLogger LOG = EventLogger.of(IoLoop.class);

    private static final int BUFFER_BYTES = 16 << 10;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int BUFFERS_CACHED_BY_THREAD = 16;
    private static final int MARKER_BUFFER_BYTES = 16;

    /** Only stalls longer than this are logged. */
    private static final long LOGGED_STALL_NS = 100 * Clock.MILLISECOND_NS;

    /** The clock for all times in the parameters and results of this class. */
    public final Clock clock;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_CACHED_BY_THREAD);
    private final StallDetector stallDetector;

    /** Tasks that became due during a stall; at most one entry for each timer. */
    private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();

    /** Tasks to be run after the next pass over the sockets. */
    private final ArrayDeque<Runnable> tasksAfterReading = new ArrayDeque<>();

    private final ByteBuffer markerBuffer = ByteBuffer.allocateDirect(MARKER_BUFFER_BYTES);
    private final StreamSinkChannel markerSink;
    private boolean markerInPipe;
    private boolean catchingUp;
    private long lastStallEnd = Long.MIN_VALUE;
    private LongConsumer onStall = stallNs -> {};

    /**
     * Starts the I/O thread, which runs until the process ends.
     *
     * @throws IOException if XNIO cannot open a selector or a pipe
     */
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
        this.markerSink = pipe.getRightSide();
        pipe.getLeftSide().getReadSetter().set(this::markerArrived);
        pipe.getLeftSide().resumeReads();
        thread.execute(() -> scheduleHeartbeat(stallDetector.heartbeat(clock.now())));
    }

    /**
     * Sets the listener that is called after each stall, once the input that arrived meanwhile was read. There is one
     * listener; a second call replaces it.
     *
     * @param listener is passed the length of the stall in nanoseconds
     */
    public void onStall(LongConsumer listener) {
        onStall = listener;
    }

    /** Returns the length of the longest stall so far, in nanoseconds. */
    public long longestStallNs() {
        return stallDetector.longestStallNs();
    }

    /**
     * Returns when the last stall that was long enough to be logged has ended: now, if the input that arrived during it has
     * not been read yet; {@link Long#MIN_VALUE} before the first. Time in which this process could not read is no time in
     * which a client was silent.
     */
    public long lastStallEnd() {
        return isStalled() ? clock.now() : lastStallEnd;
    }

    /** Returns the XNIO worker, for sockets of protocols other than HTTP. Its only I/O thread is {@link #thread()}. */
    public XnioWorker worker() {
        return worker;
    }

    /** Returns the I/O thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the buffer pool that Undertow uses to read and write. */
    ByteBufferPool buffers() {
        return buffers;
    }

    /** Schedules a task to run on the I/O thread as soon as possible. */
    public void run(Runnable task) {
        thread.execute(() -> runOrDefer(task));
    }

    /**
     * Schedules a task to run on the I/O thread at the given time of {@link Clock#now} or soon after. The returned key
     * cancels it.
     */
    public XnioExecutor.Key schedule(long time, Runnable task) {
        return thread.executeAfter(() -> runOrDefer(task), delayNs(time), TimeUnit.NANOSECONDS);
    }

    @Override
    public void at(long time, Runnable task) {
        schedule(time, task);
    }

    /** Runs a task periodically, see {@link PeriodicTask}; the first run is after one interval. */
    public void repeat(long intervalNs, LongSupplier task) {
        PeriodicTask.start(this, clock, clock.now() + intervalNs, intervalNs, task);
    }

    @Override
    public boolean isStalled() {
        if (stallDetector.isStalled(clock.now()) && !catchingUp) {
            catchingUp = true;
            afterReading(this::endStall);
        }
        return catchingUp;
    }

    /**
     * {@inheritDoc}
     *
     * <p>A marker byte is written into a pipe. The pass over the sockets that reads this byte shows that the other
     * sockets were also polled, and the tasks run after that pass. Simply scheduling a task would not be enough, since
     * XNIO runs a due task before its next pass over the sockets.
     */
    @Override
    public void afterReading(Runnable task) {
        tasksAfterReading.add(task);
        if (markerInPipe) {
            return;
        }
        markerInPipe = true;
        markerBuffer.clear().limit(1);
        try {
            markerSink.write(markerBuffer);
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to the marker pipe of the I/O thread", e);
        }
    }

    private void markerArrived(StreamSourceChannel pipe) {
        markerBuffer.clear();
        try {
            while (pipe.read(markerBuffer) > 0) {
                markerBuffer.clear();
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot read from the marker pipe of the I/O thread", e);
        }
        markerInPipe = false;
        int count = tasksAfterReading.size();
        // the task runs after the other sockets of this pass were read
        thread.execute(() -> runQueued(count, tasksAfterReading));
    }

    @Override
    public void failed(Throwable thrown) {
        FatalErrors.end(thrown);
    }

    private void scheduleHeartbeat(long time) {
        thread.executeAfter(this::runHeartbeat, delayNs(time), TimeUnit.NANOSECONDS);
    }

    private void runHeartbeat() {
        isStalled();
        scheduleHeartbeat(stallDetector.heartbeat(clock.now()));
    }

    private void endStall() {
        catchingUp = false;
        long stallNs = stallDetector.endStall();
        if (stallNs > LOGGED_STALL_NS) {
            lastStallEnd = clock.now();
            LOG.warn("io.stalled", field("duration_ms", stallNs / Clock.MILLISECOND_NS));
        }
        runLoggingFailure(() -> onStall.accept(stallNs));
        runQueued(deferredTasks.size(), deferredTasks);
    }

    private long delayNs(long time) {
        return Math.max(0, time - clock.now());
    }

    private void runOrDefer(Runnable task) {
        if (isStalled()) {
            deferredTasks.add(task);
        } else {
            runLoggingFailure(task);
        }
    }

    /** Runs the first {@code count} tasks of a queue; tasks that these add to it remain queued. */
    private static void runQueued(int count, ArrayDeque<Runnable> tasks) {
        for (int remaining = count; remaining > 0; remaining--) {
            runLoggingFailure(tasks.poll());
        }
    }

    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) { // a failing task must not stop the loop
            LOG.error("io.task_failed", e);
        } catch (Error e) { // XNIO would log it and go on
            FatalErrors.end(e);
        }
    }
}
