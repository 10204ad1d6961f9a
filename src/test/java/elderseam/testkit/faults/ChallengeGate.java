package elderseam.testkit.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Stands before the port at which an authority looks for challenges, and forwards nothing until it is opened. */
final class ChallengeGate implements AutoCloseable {
    private static final int BACKLOG = 50;

    private final ServerSocket listener;
    private final int targetPort;
    private final CountDownLatch asked = new CountDownLatch(1);
    private final CountDownLatch opened = new CountDownLatch(1);

    /** Listens at a port of its own; {@code targetPort} on loopback gets what it forwards. */
    ChallengeGate(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Waits until the authority has looked for a challenge. */
    boolean awaitChallenge(long limitS) throws InterruptedException {
        return asked.await(limitS, TimeUnit.SECONDS);
    }

    /** From now on everything is forwarded, what has come already too. */
    void open() {
        opened.countDown();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "challenge-gate");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket from = listener.accept();
                asked.countDown();
                start(() -> forward(from));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void forward(Socket from) {
        try (from) {
            opened.await();
            try (Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort)) {
                start(() -> copy(from, to));
                copy(to, from);
            }
        } catch (IOException | InterruptedException e) {
            // one side is gone, and with it the other
        }
    }

    private static void copy(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // one side is gone, and with it the other
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
