package cases;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform of PROTOCOL: discovery with its watches, and notices. Thread-safe. */
final class Platform implements Closeable {
    private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"id\":\"([^\"]+)\",\"status\":\"([a-z]+)\"");

    private final Record record;
    private final Http.Server server;
    private String entries = "";
    private int version = 1;

    /** The latest notice of each message: {@code undeliverable} or {@code deferred}. */
    final Map<String, String> notices = new ConcurrentHashMap<>();

    Platform(Record record) throws IOException {
        this.record = record;
        this.server = new Http.Server(0, this::answer);
    }

    String address() {
        return server.address();
    }

    /** An entry of the list. */
    static String entry(String id, String address, String zone, String kind, long cell, double weight) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                + "\",\"cell\":" + cell + ",\"state\":\"SERVING\",\"weight\":20.0,\"started_ms\":0}";
    }

    /** Replaces the list. */
    synchronized void list(String... listed) {
        entries = String.join(",", listed);
        version++;
        notifyAll();
    }

    /** The whole list, as in the configuration. */
    synchronized String list() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + entries + "]}";
    }

    private String answer(Http.Message request, Socket connection) throws InterruptedException {
        if (request.start().startsWith("POST /status")) {
            Matcher notice = NOTICE.matcher(request.text());
            while (notice.find()) {
                record.line("notice   %s %s", notice.group(1), notice.group(2));
                notices.put(notice.group(1), notice.group(2));
            }
            return "HTTP/1.1 204 x\r\n\r\n";
        }
        Matcher watch = AFTER.matcher(request.path());
        if (watch.find()) {
            return watch(Integer.parseInt(watch.group(1)), Long.parseLong(watch.group(2)));
        }
        return Http.response(200, "", list());
    }

    private synchronized String watch(int after, long waitMs) throws InterruptedException {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (version <= after && System.nanoTime() < endNs) {
            wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
        }
        String unchanged = "{\"version\":" + version + ",\"full\":false,\"servers\":[]}";
        return Http.response(200, "", version <= after ? unchanged : list());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
