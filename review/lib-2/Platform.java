package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform: discovery with its watches, and the notices at /status, as the protocol page has them. */
final class Platform {
    private static final Pattern AFTER = Pattern.compile("after=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"id\":\"([^\"]*)\",\"status\":\"([a-z]*)\"");

    private record Change(long version, String id, String json, boolean deleted) {}

    private final Record record;
    private final Server server;
    private final Map<String, String> entries = new LinkedHashMap<>(); // the list, by id; guarded by this
    private final List<Change> changes = new ArrayList<>(); // guarded by this
    private long version = 1; // guarded by this
    private final Set<Server.Link> silent = ConcurrentHashMap.newKeySet();

    /** The status of each notice, by the message's id; the first one stays. */
    final Map<String, String> notices = new ConcurrentHashMap<>();

    /** When the notice of a message came, in nanoseconds. */
    final Map<String, Long> noticeNs = new ConcurrentHashMap<>();

    Platform(Record record) throws IOException {
        this.record = record;
        this.server = new Server(this::handle);
    }

    String address() {
        return server.address();
    }

    static String entry(String id, String address, String zone, String kind, long cell, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                + "\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":20.0,\"started_ms\":0}";
    }

    /** Adds or changes an entry; with the state DELETED it leaves the list. */
    synchronized void list(String id, String address, String zone, String kind, long cell, String state) {
        version++;
        String json = entry(id, address, zone, kind, cell, state);
        boolean deleted = state.equals("DELETED");
        changes.add(new Change(version, id, json, deleted));
        if (deleted) {
            entries.remove(id);
        } else {
            entries.put(id, json);
        }
        record.line("discovery", "version " + version + ": " + id + " " + state);
        notifyAll();
    }

    /** The whole list, as discovery answers it and RELAY_CONFIG holds it. */
    synchronized String whole() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    /** All connections that are open now fall silent: nothing written there arrives, nothing comes back. */
    void silence() {
        silent.addAll(server.links);
        record.line("platform", silent.size() + " open connections fall silent; new ones work");
    }

    private void handle(Http request, Server.Link link) throws IOException, InterruptedException {
        if (silent.contains(link)) {
            return;
        }
        if (request.method().equals("POST") && request.target().equals("/status")) {
            Matcher notice = NOTICE.matcher(request.text());
            while (notice.find()) {
                record.line("platform", "notice " + notice.group(1) + " " + notice.group(2));
                noticeNs.putIfAbsent(notice.group(1), System.nanoTime());
                notices.putIfAbsent(notice.group(1), notice.group(2));
            }
            link.answer(204);
            return;
        }
        Matcher after = AFTER.matcher(request.target());
        if (!after.find()) {
            link.answer(200, Map.of("Content-Type", "application/json"), whole());
            return;
        }
        Matcher wait = WAIT.matcher(request.target());
        long waitMs = wait.find() ? Long.parseLong(wait.group(1)) : 0;
        String changes = changesAfter(Long.parseLong(after.group(1)), waitMs);
        if (!silent.contains(link)) {
            link.answer(200, Map.of("Content-Type", "application/json"), changes);
        }
    }

    private synchronized String changesAfter(long known, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (version <= known && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        List<String> news = changes.stream()
                .filter(change -> change.version > known)
                .map(Change::json)
                .toList();
        return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", news) + "]}";
    }
}
