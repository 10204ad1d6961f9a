package cases;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;

/**
 * A rent-payment as an event over TLS, a restart while its call is out, and an ACME authority that is unreachable from before
 * the certificate's renewal on. The certificate stays valid beyond the event's time.
 */
final class CertificateCase implements Main.Case {
    private static final int VALID_S = 60; // after the order, and as long before it: renewal is due with 40 s left
    private static final long AUTHORITY_ENDS_MS = 5_000;
    private static final long EVENT_MS = 22_000; // after the first certificate was seen, when its renewal is due
    private static final long EVENT_TIME_MS = 28_000; // giveUpNs of rent-payment
    private static final long SLACK_MS = 350; // 300 ms after its time, and 50 ms for each limit on sockets
    private static final long DESTINATION = 7;
    private static final long PACE_MS = 220;

    private Record record;
    private volatile long calls;
    private volatile X509Certificate certificate; // as last seen

    @Override
    public List<String> run(Record newRecord, boolean trouble, Path folder) throws Exception {
        record = newRecord;
        int eventsPort = Dispatcher.freePort();
        int authorityPort = Dispatcher.freePort();
        int challengePort = Dispatcher.freePort();
        Path settingsFile = Files.writeString(
                folder.resolve("events.ini"),
                "[events]\nlisten = 127.0.0.1:" + eventsPort + "\nremember_s = 3600\n[acme]\ndirectory = http://127.0.0.1:"
                        + authorityPort + "/directory\nnames = localhost\nfolder = " + folder.resolve("certificates")
                        + "\nchallenges = 127.0.0.1:" + challengePort + "\n");
        Process authority = startAuthority(authorityPort, challengePort, folder);
        try (Platform platform = new Platform(record);
                Http.Server partner = partner()) {
            platform.list(Platform.entry("s-bank", partner.address(), "wdh-1", "bank", DESTINATION, 200.0));
            try (Dispatcher dispatcher =
                    new Dispatcher(record, folder, platform, Settings.windhoek(), settingsFile.toString())) {
                Dispatcher.Run first = dispatcher.start();
                first.awaitReady();
                if (askUntil("rent-0", eventsPort, record.ms() + 15_000) < 0) {
                    throw new IOException("no certificate came");
                }
                long begin = record.ms();
                record.line("tls      the certificate is valid until %s", certificate.getNotAfter().toInstant());
                Thread.sleep(AUTHORITY_ENDS_MS);
                if (trouble) {
                    record.line("authority is unreachable from now on");
                    authority.destroyForcibly().waitFor();
                }
                Thread.sleep(Math.max(0, begin + EVENT_MS - record.ms()));
                long callsBefore = calls;
                long handedIn = record.ms();
                Http.start(() -> ask("rent-1", eventsPort)); // its connection ends with the process
                while (calls == callsBefore && record.ms() < handedIn + 2_000) {
                    Thread.sleep(1);
                }
                if (calls == callsBefore) {
                    throw new IOException("the event was not forwarded");
                }
                Thread.sleep(50);
                first.kill();
                Thread.sleep(600);
                dispatcher.start().awaitReady();
                long end = handedIn + EVENT_TIME_MS + SLACK_MS;
                int code = askUntil("rent-1", eventsPort, end);
                List<String> broken = new ArrayList<>();
                if (code < 0 && certificate.getNotAfter().getTime() > System.currentTimeMillis()) {
                    broken.add("no final answer: rent-1 was taken on and forwarded, its sender asked again for "
                            + (record.ms() - handedIn) / 1_000 + " s and was never answered, nor let in; the certificate is valid until "
                            + certificate.getNotAfter().toInstant());
                }
                return broken;
            }
        } finally {
            authority.destroyForcibly().waitFor();
        }
    }

    /** The stand-in authority of the test kit, which the deploy file's build compiles. */
    private Process startAuthority(int port, int challengePort, Path folder) throws IOException, InterruptedException {
        String classpath = String.join(File.pathSeparator, "target/review", "target/classes", "target/lib/*");
        Process process = new ProcessBuilder(
                        "java", "-Xmx64m", "-cp", classpath, "cases.Authority", "" + port, "" + challengePort, "" + VALID_S)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("authority").toFile())
                .start();
        for (int i = 0; i < 200 && !Files.readString(folder.resolve("authority")).contains("/directory"); i++) {
            if (process.waitFor(50, TimeUnit.MILLISECONDS)) {
                throw new IOException("the authority ended: " + Files.readString(folder.resolve("authority")));
            }
        }
        return process;
    }

    private Http.Server partner() throws IOException {
        return new Http.Server(0, (request, connection) -> {
            if (!request.start().startsWith("POST /events ")) {
                return Http.response(404, "", "");
            }
            record.line("call     %s", request.header("ce-id"));
            calls++;
            Thread.sleep(PACE_MS);
            record.line("executed %s", request.header("ce-id"));
            return Http.response(200, "", "");
        });
    }

    /** Asks again and again with the same identity; returns the status of a final answer, or -1 if none came in time. */
    private int askUntil(String id, int port, long endMs) throws InterruptedException {
        while (record.ms() < endMs) {
            int code = ask(id, port);
            if (code == 200 || code == 502) {
                return code;
            }
            Thread.sleep(250);
        }
        return -1;
    }

    /** Asks once, on a connection of its own; returns the status, or -1 without an answer. */
    private int ask(String id, int port) {
        try (SSLSocket socket = (SSLSocket) trustingContext().getSocketFactory().createSocket()) {
            socket.connect(Http.socketAddress("127.0.0.1:" + port), 1_000);
            socket.setSoTimeout(30_000);
            socket.startHandshake();
            certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            byte[] body = "{\"amount\":850}".getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(("POST /events HTTP/1.1\r\nHost: localhost\r\nce-specversion: 1.0\r\nce-id: " + id
                            + "\r\nce-source: /erongo/ledger\r\nce-type: rent-payment\r\nce-tenant: erongo-lettings\r\nce-destination: "
                            + DESTINATION + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            request.writeBytes(body);
            socket.getOutputStream().write(request.toByteArray());
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer == null) {
                record.line("sender   %s: its connection ended", id);
                return -1;
            }
            record.line("sender   %s -> %d %s", id, answer.code(), answer.text().strip());
            return answer.code();
        } catch (Exception e) {
            record.line("sender   %s: %s", id, e);
            return -1;
        }
    }

    /** The sender's trust in the authority's root is not what is tested: it looks at the certificate's end alone. */
    private static SSLContext trustingContext() throws Exception {
        TrustManager trusting = new X509TrustManager() {
            @Override
            public void checkClientTrusted(X509Certificate[] chain, String type) {}

            @Override
            public void checkServerTrusted(X509Certificate[] chain, String type) throws java.security.cert.CertificateException {
                chain[0].checkValidity();
            }

            @Override
            public X509Certificate[] getAcceptedIssuers() {
                return new X509Certificate[0];
            }
        };
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {trusting}, null);
        return context;
    }
}
