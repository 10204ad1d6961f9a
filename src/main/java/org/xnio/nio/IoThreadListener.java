package org.xnio.nio;

import static elderseam.logging.LogField.error;

import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Accepts connections from a listening socket on the I/O thread itself. XNIO's own servers accept on another thread,
 * which hands connections over: whoever stops such a server can't know whether that thread has yet to accept one, and
 * closing the socket resets it together with the request that it carries. XNIO also creates connections by classes
 * that only this package sees, hence the package. Confined to the I/O thread.
 */
public final class IoThreadListener extends NioHandle {
    private static final EventLogger LOG = EventLogger.of(IoThreadListener.class);

    /** How many connections are accepted before other sockets have their turn. */
    private static final int MAX_ACCEPTS_PER_EVENT = 64;

    /** After a failure, such as no descriptor, so long nothing is accepted: the socket stays ready meanwhile. */
    private static final long PAUSE_AFTER_FAILURE_MS = 50;

    private final WorkerThread thread;
    private final ServerSocketChannel socket;
    private final int maxOpen;
    private final ChannelListener<? super StreamConnection> onConnection;
    private int open;
    private boolean accepting;
    private boolean pausing;

    private IoThreadListener(
            WorkerThread thread,
            SelectionKey key,
            ServerSocketChannel socket,
            int maxOpen,
            ChannelListener<? super StreamConnection> onConnection) {
        super(thread, key);
        this.thread = thread;
        this.socket = socket;
        this.maxOpen = maxOpen;
        this.onConnection = onConnection;
    }

    /**
     * Registers a listening socket with an I/O thread, on which this must be called. Nothing is accepted before {@link
     * #resume()}.
     *
     * @param maxOpen while so many of its connections are open, no more are accepted, and wait at the socket
     * @throws IOException if the socket is closed
     */
    public static IoThreadListener register(
            XnioIoThread thread,
            ServerSocketChannel socket,
            int maxOpen,
            ChannelListener<? super StreamConnection> onConnection)
            throws IOException {
        WorkerThread workerThread = (WorkerThread) thread;
        socket.configureBlocking(false);
        SelectionKey key = workerThread.registerChannel(socket);
        IoThreadListener listener = new IoThreadListener(workerThread, key, socket, maxOpen, onConnection);
        key.attach(listener);
        return listener;
    }

    /** Accepts connections from now on. */
    public void resume() {
        accepting = true;
        resumeUnlessFull();
    }

    /** Accepts nothing from now on: new connections wait at the socket, for whichever process accepts there. */
    public void suspend() {
        accepting = false;
        suspend(SelectionKey.OP_ACCEPT);
    }

    /** Accepts all connections that wait at the socket, and closes it. */
    public void acceptPendingAndClose() {
        accepting = false;
        try {
            while (acceptOne()) { // each is one of the socket's backlog
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
        }
        cancelKey(false);
        IoUtils.safeClose(socket);
    }

    private void resumeUnlessFull() {
        if (accepting && !pausing && open < maxOpen) {
            resume(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    void handleReady(int ops) {
        try {
            for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && open < maxOpen; i++) {
                if (!acceptOne()) {
                    return;
                }
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
            pause();
        }
        if (open >= maxOpen) {
            suspend(SelectionKey.OP_ACCEPT);
        }
    }

    private void pause() {
        pausing = true;
        suspend(SelectionKey.OP_ACCEPT);
        thread.executeAfter(
                () -> {
                    pausing = false;
                    resumeUnlessFull();
                },
                PAUSE_AFTER_FAILURE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** False where none is left, or another process was faster. */
    private boolean acceptOne() throws IOException {
        SocketChannel accepted = socket.accept();
        if (accepted == null) {
            return false;
        }
        open(accepted);
        return true;
    }

    private void open(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = thread.registerChannel(accepted);
            open++;
            ChannelListeners.invokeChannelListener(
                    new NioSocketStreamConnection(thread, key, this::connectionClosed), onConnection);
        } catch (IOException e) {
            IoUtils.safeClose(accepted);
        }
    }

    private void connectionClosed() {
        open--;
        resumeUnlessFull();
    }

    @Override
    void forceTermination() {
        IoUtils.safeClose(socket);
    }

    @Override
    void terminated() {}
}
