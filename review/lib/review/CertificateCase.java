package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;

/**
 * The CloudEvents front with a certificate from the stand-in authority. The authority is unreachable from shortly before
 * the renewal is due; a planned restart follows while an event is mid-call. The certificate is valid throughout.
 */
final class CertificateCase {
    private static final int DISPATCHERS = 4; // so that a quarter is restarted at a time; the page has up to 29%
    private static final int VALID_BEFORE_S = 60;
    private static final int VALID_AFTER_S = 60; // of 120 s in all, so that the renewal is due 20 s after the issue
    private static final long AUTHORITY_ENDS_MS = 15_000; // after the issue
    private static final long EVENT_AT_MS = 22_000; // after the issue
    private static final long TERM_AFTER_MS = 1_000; // after the event
    private static final long DEADLINE_MS = 28_000; // of the class
    private static final long SLACK_MS = 550; // half a second, and the 50 ms of sockets
    private static final long WORK_MS = 9_000; // of a call that comes while the partner is slow
    private static final long USUAL_WORK_MS = 400;
    private static final long SLOW_MS = 10_000; // from the first call on
    private static final long RETRY_MS = 500;

    private final Record record;
    private final boolean trouble;
    private final Path folder;
    private final AtomicInteger runs = new AtomicInteger();
    private volatile long slowUntilMs;
    private Process authority;
    private String eventsAddress;
    private SSLContext trust;

    private CertificateCase(Record record, boolean trouble, Path folder) {
        this.record = record;
        this.trouble = trouble;
        this.folder = folder;
    }

    static int run(Record record, boolean trouble, Path folder) throws Exception {
        CertificateCase run = new CertificateCase(record, trouble, folder);
        try {
            return run.run();
        } finally {
            if (run.authority != null) {
                run.authority.destroyForcibly().onExit().join();
            }
        }
    }

    private int run() throws Exception {
        int authorityPort = Dispatcher.freePort();
        int challengePort = Dispatcher.freePort();
        startAuthority(authorityPort, challengePort);
        eventsAddress = "127.0.0.1:" + Dispatcher.freePort();
        Path settingsFile = folder.resolve("elderseam.ini");
        Files.writeString(
                settingsFile,
                "[events]\nlisten = " + eventsAddress + "\nremember_s = 3600\n\n[acme]\ndirectory = http://127.0.0.1:"
                        + authorityPort + "/directory\nnames = localhost\nfolder = " + folder.resolve("certificates")
                        + "\nchallenges = 127.0.0.1:" + challengePort + "\n");
        String settings = Settings.of(
                DISPATCHERS,
                "\"z\"",
                Settings.service("job-order", "by_key", "all", 3_000, DEADLINE_MS, 7_500) + ","
                        + PatientClients.service());
        try (Platform platform = new Platform(record);
                Http.Server endpoint = new Http.Server(0, this::receive);
                Http.Server usual = PatientClients.endpoint()) {
            platform.list(
                    Platform.entry("s-1", endpoint.address(), "z", "bank", 7),
                    Platform.entry("s-2", usual.address(), "z", "bank", 8));
            List<Dispatcher> dispatchers = new ArrayList<>();
            try {
                for (int i = 1; i <= DISPATCHERS; i++) {
                    Dispatcher dispatcher = new Dispatcher(
                            record,
                            "n" + i,
                            folder,
                            platform.address(),
                            settings,
                            platform.list(),
                            Settings.LIMITS,
                            i == 1 ? settingsFile.toString() : ""); // n1 alone has the front for events
                    dispatchers.add(dispatcher);
                    dispatcher.start();
                }
                for (Dispatcher dispatcher : dispatchers) {
                    dispatcher.awaitReady();
                }
                PatientClients patient = new PatientClients(dispatchers, 20, 2_000);
                int verdict = run(dispatchers.get(0));
                record.line("usual    %s", patient.end());
                return verdict;
            } finally {
                dispatchers.forEach(Dispatcher::close);
            }
        }
    }

    private void startAuthority(int port, int challengePort) throws Exception {
        Path root = folder.resolve("root.pem");
        authority = new ProcessBuilder(
                        "java",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-cp",
                        "target/review:target/classes:target/lib/*",
                        "review.Authority",
                        Integer.toString(port),
                        Integer.toString(challengePort),
                        Integer.toString(VALID_BEFORE_S),
                        Integer.toString(VALID_AFTER_S),
                        root.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("authority.txt").toFile())
                .start();
        for (int i = 0; i < 200 && !Files.exists(root); i++) {
            Thread.sleep(50);
        }
        try (InputStream pem = Files.newInputStream(root)) {
            KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
            store.load(null, null);
            store.setCertificateEntry(
                    "root", CertificateFactory.getInstance("X.509").generateCertificate(pem));
            TrustManagerFactory managers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            managers.init(store);
            trust = SSLContext.getInstance("TLS");
            trust.init(null, managers.getTrustManagers(), null);
        }
        record.line("process  authority started");
    }

    private int run(Dispatcher dispatcher) throws Exception {
        X509Certificate certificate = awaitCertificate();
        if (certificate == null) {
            record.line("no certificate was served");
            return 2;
        }
        long issuedAt = certificate.getNotBefore().getTime() + VALID_BEFORE_S * 1_000L;
        record.line(
                "sender   is served a certificate valid from %s to %s",
                certificate.getNotBefore().toInstant(), certificate.getNotAfter().toInstant());
        sleepUntil(issuedAt + AUTHORITY_ENDS_MS);
        if (trouble) {
            authority.destroyForcibly().waitFor();
            record.line("process  authority ended: unreachable from now on");
        }
        sleepUntil(issuedAt + EVENT_AT_MS);
        long sentAt = System.currentTimeMillis();
        Thread restart = new Thread(() -> restart(dispatcher));
        restart.start();
        String answer = send(DEADLINE_MS);
        record.line("sender   event /agency 1: %s", answer);
        int asked = 1;
        String latest = "";
        while (!isFinal(answer) && System.currentTimeMillis() < sentAt + DEADLINE_MS + SLACK_MS) {
            Thread.sleep(RETRY_MS);
            answer = send(Math.max(1, sentAt + DEADLINE_MS + SLACK_MS - System.currentTimeMillis()));
            asked++;
            if (!answer.equals(latest)) {
                record.line("sender   event /agency 1 again: %s", answer);
                latest = answer;
            }
        }
        restart.join();
        boolean answered = isFinal(answer);
        Http.Message ready = Http.call(dispatcher.address, "GET /health/ready HTTP/1.1\r\n", new byte[0], 500);
        record.line("process  n1 %s", ready != null && ready.code() == 200 ? "is ready" : "is not ready");
        record.line(
                "verdict  event accepted, asked for %d times in %d ms, %s; calls at the endpoint: %d; certificate valid until %s, now %s",
                asked,
                System.currentTimeMillis() - sentAt,
                answered ? "answered" : "never answered",
                runs.get(),
                certificate.getNotAfter().toInstant(),
                Instant.now());
        if (runs.get() == 0) {
            record.line("the event was not taken on before the restart");
            return 2;
        }
        return answered ? 0 : 1;
    }

    private void restart(Dispatcher dispatcher) {
        try {
            Thread.sleep(TERM_AFTER_MS);
            dispatcher.terminate();
            Thread.sleep(600);
            dispatcher.start();
            dispatcher.awaitReady();
        } catch (IOException | InterruptedException e) {
            record.line("could not restart: %s", e);
        }
    }

    private static void sleepUntil(long wallMs) throws InterruptedException {
        Thread.sleep(Math.max(0, wallMs - System.currentTimeMillis()));
    }

    private X509Certificate awaitCertificate() throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            try (SSLSocket socket = connect(1_000)) {
                return (X509Certificate) socket.getSession().getPeerCertificates()[0];
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        return null;
    }

    /** A connection whose certificate is signed by the authority's root and valid now. */
    private SSLSocket connect(int timeoutMs) throws IOException {
        String[] parts = eventsAddress.split(":");
        SSLSocket socket = (SSLSocket) trust.getSocketFactory().createSocket();
        try {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.startHandshake();
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static boolean isFinal(String answer) {
        return answer.contains("\"status\":\"");
    }

    /** Sends the event, always with the same identity; the answer, or why there is none. */
    private String send(long timeoutMs) {
        byte[] body = "job 1".getBytes(StandardCharsets.UTF_8);
        try (SSLSocket socket = connect((int) Math.min(2_000, timeoutMs))) {
            socket.setSoTimeout((int) timeoutMs);
            String head = "POST /events HTTP/1.1\r\nHost: localhost\r\nce-specversion: 1.0\r\nce-type: job-order\r\n"
                    + "ce-source: /agency\r\nce-id: 1\r\nce-destination: 7\r\nContent-Type: text/plain\r\n"
                    + "Content-Length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write((head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? "connection closed without an answer" : answer.code() + " " + answer.text().strip();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }

    /** An endpoint that is slow for a while, within the pages' figures: a job-order of 320 to 560 ms takes 16 to 25 times as long. */
    private String receive(Http.Message request, Socket connection) throws Exception {
        if (!request.start().startsWith("POST /events ")) {
            return Http.response(404, "", "");
        }
        int run = runs.incrementAndGet();
        record.line("call     %d of event %s %s arrives", run, request.header("ce-source"), request.header("ce-id"));
        if (run == 1) {
            slowUntilMs = record.ms() + SLOW_MS;
        }
        Thread.sleep(record.ms() < slowUntilMs ? WORK_MS : USUAL_WORK_MS);
        record.line("call     %d is answered 200", run);
        return Http.response(200, "", "");
    }
}
