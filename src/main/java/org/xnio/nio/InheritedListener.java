package org.xnio.nio;

import static elderseam.logging.LogField.error;

import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A listening socket that this process was given, not bound by it. XNIO makes its connections from sockets that it has accepted
 * itself, by classes that only this package sees; so this one stands here, and does no more than accept and hand over. All of it
 * runs on the I/O thread.
 */
public final class InheritedListener extends NioHandle {
    private static final EventLogger LOG = EventLogger.of(InheritedListener.class);

    private static final int AT_ONCE = 64; // accepted before other sockets have their turn

    private final WorkerThread thread;
    private final ServerSocketChannel socket;
    private final ChannelListener<? super StreamConnection> opened;

    private InheritedListener(
            WorkerThread thread,
            SelectionKey key,
            ServerSocketChannel socket,
            ChannelListener<? super StreamConnection> opened) {
        super(thread, key);
        this.thread = thread;
        this.socket = socket;
        this.opened = opened;
    }

    /** On that I/O thread, to be called there; it accepts once {@link #resume()} is called. */
    public static InheritedListener on(
            XnioIoThread thread, ServerSocketChannel socket, ChannelListener<? super StreamConnection> opened)
            throws IOException {
        WorkerThread worker = (WorkerThread) thread;
        socket.configureBlocking(false);
        SelectionKey key = worker.registerChannel(socket);
        InheritedListener listener = new InheritedListener(worker, key, socket, opened);
        key.attach(listener);
        return listener;
    }

    public void resume() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** What connects waits at the socket, for whoever accepts there. */
    public void suspend() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    @Override
    void handleReady(int ops) {
        try {
            for (int i = 0; i < AT_ONCE; i++) {
                SocketChannel accepted = socket.accept();
                if (accepted == null) { // another process was faster
                    return;
                }
                handOver(accepted);
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
        }
    }

    private void handOver(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = thread.registerChannel(accepted);
            ChannelListeners.invokeChannelListener(new NioSocketStreamConnection(thread, key, () -> {}), opened);
        } catch (IOException e) {
            IoUtils.safeClose(accepted);
        }
    }

    @Override
    void forceTermination() {
        IoUtils.safeClose(socket);
    }

    @Override
    void terminated() {}
}
