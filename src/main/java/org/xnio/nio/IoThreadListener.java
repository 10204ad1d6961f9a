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
 * Accepts connections from a listening socket on the I/O thread itself. XNIO's own servers accept on a separate thread
 * and pass the connections to the I/O thread. When such a server is stopped, connections may still be waiting to be
 * accepted, and closing the socket resets them together with the requests that they carry. The class is in XNIO's
 * package because XNIO's classes for creating connections are package-private. Confined to the I/O thread.
 */
public final class IoThreadListener extends NioHandle {
    private static final EventLogger LOG = EventLogger.of(IoThreadListener.class);

    /** Maximum number of connections accepted before other sockets are processed. */
    private static final int MAX_ACCEPTS_PER_EVENT = 64;

    /**
     * Pause after a failed accept, for example for lack of file descriptors. Without it the loop would spin, since the
     * socket stays ready.
     */
    private static final long PAUSE_AFTER_FAILURE_MS = 50;

    private final WorkerThread thread;
    private final ServerSocketChannel socket;
    private final int maxOpenConnections;
    private final ChannelListener<? super StreamConnection> onConnection;
    private int openConnections;
    private boolean accepting;
    private boolean paused;

    private IoThreadListener(
            WorkerThread thread,
            SelectionKey key,
            ServerSocketChannel socket,
            int maxOpenConnections,
            ChannelListener<? super StreamConnection> onConnection) {
        super(thread, key);
        this.thread = thread;
        this.socket = socket;
        this.maxOpenConnections = maxOpenConnections;
        this.onConnection = onConnection;
    }

    /**
     * Registers a listening socket with an I/O thread; must be called on that thread. No connection is accepted before
     * {@link #resume()}.
     *
     * @param maxOpenConnections the maximum number of open connections; further ones wait in the socket's backlog
     * @throws IOException if the socket is closed
     */
    public static IoThreadListener register(
            XnioIoThread thread,
            ServerSocketChannel socket,
            int maxOpenConnections,
            ChannelListener<? super StreamConnection> onConnection)
            throws IOException {
        WorkerThread workerThread = (WorkerThread) thread;
        socket.configureBlocking(false);
        SelectionKey key = workerThread.registerChannel(socket);
        IoThreadListener listener = new IoThreadListener(workerThread, key, socket, maxOpenConnections, onConnection);
        key.attach(listener);
        return listener;
    }

    /** Starts accepting connections, or accepts them again. */
    public void resume() {
        accepting = true;
        resumeUnlessFull();
    }

    /**
     * Stops accepting connections. New connections wait in the socket's backlog until a process that shares the socket
     * accepts them.
     */
    public void suspend() {
        accepting = false;
        suspend(SelectionKey.OP_ACCEPT);
    }

    /** Accepts all connections in the socket's backlog, and then closes the socket. */
    public void acceptPendingAndClose() {
        accepting = false;
        try {
            while (acceptOne()) { // repeats until the backlog is empty
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
        }
        cancelKey(false);
        IoUtils.safeClose(socket);
    }

    private void resumeUnlessFull() {
        if (accepting && !paused && openConnections < maxOpenConnections) {
            resume(SelectionKey.OP_ACCEPT);
        }
    }

    @Override
    void handleReady(int ops) {
        try {
            for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && openConnections < maxOpenConnections; i++) {
                if (!acceptOne()) {
                    return;
                }
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
            pause();
        }
        if (openConnections >= maxOpenConnections) {
            suspend(SelectionKey.OP_ACCEPT);
        }
    }

    private void pause() {
        paused = true;
        suspend(SelectionKey.OP_ACCEPT);
        thread.executeAfter(
                () -> {
                    paused = false;
                    resumeUnlessFull();
                },
                PAUSE_AFTER_FAILURE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Accepts one connection. Returns false if the backlog is empty, possibly because another process accepted it. */
    private boolean acceptOne() throws IOException {
        SocketChannel accepted = socket.accept();
        if (accepted == null) {
            return false;
        }
        startConnection(accepted);
        return true;
    }

    private void startConnection(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = thread.registerChannel(accepted);
            openConnections++;
            ChannelListeners.invokeChannelListener(
                    new NioSocketStreamConnection(thread, key, this::connectionClosed), onConnection);
        } catch (IOException e) {
            IoUtils.safeClose(accepted);
        }
    }

    private void connectionClosed() {
        openConnections--;
        resumeUnlessFull();
    }

    @Override
    void forceTermination() {
        IoUtils.safeClose(socket);
    }

    @Override
    void terminated() {}
}
