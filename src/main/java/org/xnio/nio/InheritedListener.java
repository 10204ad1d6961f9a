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
 * Accepts connections from a listening socket that this process inherited. XNIO itself only accepts from sockets that it
 * has bound, and creates connections by classes that only this package sees, hence the package. Confined to the I/O
 * thread.
 */
public final class InheritedListener extends NioHandle {
    private static final EventLogger LOG = EventLogger.of(InheritedListener.class);

    /** How many connections are accepted before other sockets have their turn. */
    private static final int MAX_ACCEPTS_PER_EVENT = 64;

    private final WorkerThread thread;
    private final ServerSocketChannel socket;
    private final ChannelListener<? super StreamConnection> onConnection;

    private InheritedListener(
            WorkerThread thread,
            SelectionKey key,
            ServerSocketChannel socket,
            ChannelListener<? super StreamConnection> onConnection) {
        super(thread, key);
        this.thread = thread;
        this.socket = socket;
        this.onConnection = onConnection;
    }

    /**
     * Registers a listening socket with an I/O thread, on which this must be called. Nothing is accepted before {@link
     * #resume()}.
     *
     * @throws IOException if the socket is closed
     */
    public static InheritedListener register(
            XnioIoThread thread, ServerSocketChannel socket, ChannelListener<? super StreamConnection> onConnection)
            throws IOException {
        WorkerThread workerThread = (WorkerThread) thread;
        socket.configureBlocking(false);
        SelectionKey key = workerThread.registerChannel(socket);
        InheritedListener listener = new InheritedListener(workerThread, key, socket, onConnection);
        key.attach(listener);
        return listener;
    }

    /** Accepts connections from now on. */
    public void resume() {
        resume(SelectionKey.OP_ACCEPT);
    }

    /** Accepts nothing from now on: new connections wait at the socket, for whichever process accepts there. */
    public void suspend() {
        suspend(SelectionKey.OP_ACCEPT);
    }

    @Override
    void handleReady(int ops) {
        try {
            for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
                SocketChannel accepted = socket.accept();
                if (accepted == null) { // none left, or another process was faster
                    return;
                }
                open(accepted);
            }
        } catch (IOException e) {
            LOG.warn("http.accept_failed", error(e));
        }
    }

    private void open(SocketChannel accepted) {
        try {
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = thread.registerChannel(accepted);
            ChannelListeners.invokeChannelListener(new NioSocketStreamConnection(thread, key, () -> {}), onConnection);
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
