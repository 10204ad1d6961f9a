package elderseam.scenario;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;

/**
 * What rules cost a dispatcher on sockets: requests a second on one I/O thread, CPU of each, memory and time to readiness; without
 * rules, with ten, with ten and a body, with a thousand. The requests go to a destination that no list has, so that reading, rules
 * and answer are all that is measured. Run by {@code make figures}.
 */
public final class RulesCost {
    private static final int CLIENTS = 8;
    private static final int EACH = 15_000;
    private static final int ROUNDS = 3;
    private static final String BODY =
            "{\"lease\": {\"id\": 12, \"unit\": \"4b\"}, \"month\": \"2026-12\", \"amount\": 12000, \"lines\": [{\"text\": \"rent\", \"amount\": 11000}]}";

    private RulesCost() {}

    public static void main(String[] args) throws Exception {
        System.out.printf(
                "%-22s %12s %14s %14s %12s%n", "rules", "requests/s", "CPU us each", "resident kB", "ready ms");
        for (int round = 0; round < ROUNDS; round++) {
            for (String kind : new String[] {"off", "10", "10 and body", "10 with key", "1000"}) {
                measure(kind);
            }
        }
        System.exit(0);
    }

    private static String rules(String kind) {
        StringBuilder all = new StringBuilder();
        int n = kind.equals("off") ? 0 : Integer.parseInt(kind.split(" ")[0]);
        for (int i = 0; i < n; i++) {
            all.append("[rule r")
                    .append(i)
                    .append("]\nwhen = message.tenant == 'erongo-lettings' && request.headers['x-kind'] == 'rent")
                    .append(i)
                    .append(kind.contains("body") ? "' || body.lease.id == " + (100 + i) + " && body.month == 'x" : "")
                    .append("'\npriority = 6\n");
        }
        return all
                + (kind.contains("key")
                        ? "[table keys]\n[rule key]\nkey = message.tenant + '/' + string(body.lease.id) + '/' + body.month\n"
                        : "");
    }

    private static void measure(String kind) throws Exception {
        Path folder = Files.createTempDirectory("rules-cost");
        try (Scenario s = new Scenario(folder)) {
            s.launcher().withoutEvents();
            if (!kind.equals("off")) {
                s.launcher()
                        .setSettingsLines(
                                "[rules]\nfiles = " + Files.writeString(folder.resolve("a.rules"), rules(kind)) + "\n");
            }
            long start = System.nanoTime();
            s.start();
            long ready = (System.nanoTime() - start) / 1_000_000;
            load(s, EACH / 3);
            long ticks = s.program().cpuTicks();
            long from = System.nanoTime();
            load(s, EACH);
            double seconds = (System.nanoTime() - from) / 1e9;
            System.out.printf(
                    "%-22s %12.0f %14.1f %14d %12d%n",
                    kind,
                    CLIENTS * EACH / seconds,
                    (s.program().cpuTicks() - ticks) * 1e4 / (CLIENTS * EACH),
                    s.program().residentKilobytes(),
                    ready);
        }
    }

    private static void load(Scenario s, int each) throws Exception {
        String[] at = s.clientAddress().split(":");
        byte[] request =
                ("POST /rent-payment HTTP/1.1\r\nHost: api.internal\r\nX-Org: erongo-lettings\r\nX-Addressing: dest=777\r\nX-Remaining: 9000m\r\nX-Kind: other\r\n"
                                + "X-Txn: m\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY)
                        .getBytes(StandardCharsets.UTF_8);
        CyclicBarrier together = new CyclicBarrier(CLIENTS);
        List<Thread> all = new ArrayList<>();
        List<Throwable> failed = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread t = new Thread(() -> {
                try (Socket socket = new Socket(at[0], Integer.parseInt(at[1]))) {
                    socket.setTcpNoDelay(true);
                    InputStream in = socket.getInputStream();
                    byte[] answer = new byte[4_096];
                    together.await();
                    for (int i = 0; i < each; i++) {
                        socket.getOutputStream().write(request);
                        int n = 0;
                        while (n < 4
                                || answer[n - 4] != '\r'
                                || answer[n - 3] != '\n'
                                || answer[n - 2] != '\r'
                                || answer[n - 1] != '\n') {
                            int more = in.read(answer, n, answer.length - n);
                            if (more <= 0) {
                                throw new IllegalStateException("closed after " + i);
                            }
                            n += more;
                        }
                        if (answer[9] != '5' || answer[11] != '3') {
                            throw new IllegalStateException(new String(answer, 0, n, StandardCharsets.UTF_8));
                        }
                    }
                } catch (Exception e) {
                    synchronized (failed) {
                        failed.add(e);
                    }
                }
            });
            t.start();
            all.add(t);
        }
        for (Thread t : all) {
            t.join();
        }
        if (!failed.isEmpty()) {
            throw new IllegalStateException(failed.get(0));
        }
    }
}
