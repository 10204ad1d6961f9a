package upgrades;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery and the receiver of notices at one address. The list never changes in these cases: a watch waits for as long as
 * it says and is answered with no entries. Notices are answered with 204 at once.
 */
final class Platform {
    private static final Pattern WATCH = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"id\":\"([^\"]*)\",\"status\":\"([^\"]*)\"");
    private static final int VERSION = 41;

    private final Http.Server server;
    private final String name;
    private final List<Partner> partners;
    private final Record record;

    /** When the first notice of each message came, by its id; shared by the platform's addresses. */
    private final Map<String, Double> noticedAt;

    Platform(String name, List<Partner> partners, Map<String, Double> noticedAt, Record record) throws IOException {
        this.name = name;
        this.partners = partners;
        this.noticedAt = noticedAt;
        this.record = record;
        this.server = new Http.Server(this::answer);
    }

    static Map<String, Double> notices() {
        return new ConcurrentHashMap<>();
    }

    String address() {
        return server.address();
    }

    /** The whole list, as a dispatcher's configuration has it too. */
    String list() {
        List<String> entries = new ArrayList<>();
        partners.forEach(partner -> entries.add(partner.listEntry()));
        return "{\"version\":" + VERSION + ",\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** As after a move of discovery: no new connections; the open ones are closed after 1.5 s. */
    void moveAway() throws IOException {
        record.line("platform %s at %s accepts no new connections", name, address());
        server.stopAccepting();
        Http.thread(() -> {
            pause(1_500);
            server.closeConnections();
            record.line("platform %s has closed its open connections", name);
        });
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String answer(Http.Message request, Socket socket) throws InterruptedException {
        if (request.firstLine.startsWith("POST /status")) {
            request.body.lines().forEach(this::notice);
            return "HTTP/1.1 204 No Content\r\n\r\n";
        }
        Matcher watch = WATCH.matcher(request.firstLine);
        if (!watch.find()) {
            record.line("platform %s: the whole list is asked for", name);
            return Http.response("200 OK", "", list());
        }
        Thread.sleep(Long.parseLong(watch.group(2)));
        return Http.response("200 OK", "", "{\"version\":" + VERSION + ",\"full\":false,\"servers\":[]}");
    }

    private void notice(String line) {
        Matcher notice = NOTICE.matcher(line);
        if (notice.find()) {
            record.line("platform %s: notice %s", name, line);
            noticedAt.putIfAbsent(notice.group(1), Record.now());
        }
    }
}
