package elderseam.frontend.platform;

import elderseam.core.JsonValue;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListedEndpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Discovery's endpoint list, read from and written in its JSON format. Confined to the I/O thread. */
public final class EndpointList {
    private static final String READY_STATE = "SERVING";
    private static final String GONE_STATE = "DELETED";
    private static final String DRAINING_STATE = "DRAINING";

    /** An endpoint, and where this dispatcher reaches it. */
    private record Entry(EndpointAddress address, ListedEndpoint endpoint) {}

    private final Map<String, Entry> entries = new HashMap<>(); // by the endpoints' ids
    private final List<String> kinds;
    private final List<String> zones;

    /** An empty list; its kinds of endpoints and its zones are those of the settings. */
    public EndpointList(SettingsMap settings) {
        this.kinds = settings.list("flavors");
        this.zones = settings.list("localities");
    }

    /** Where an endpoint is reached; the address is empty where it is not listed. */
    public EndpointAddress addressOf(String id) {
        Entry entry = entries.get(id);
        return entry == null ? new EndpointAddress(id, "") : entry.address;
    }

    /** The ids of a destination's endpoints. */
    public List<String> idsOf(long destination) {
        return entries.values().stream()
                .filter(entry -> entry.endpoint.destination() == destination)
                .map(entry -> entry.address.id())
                .toList();
    }

    /** The ids of all endpoints, by destination. */
    public Map<Long, List<String>> idsByDestination() {
        Map<Long, List<String>> ids = new HashMap<>();
        for (Entry entry : entries.values()) {
            ids.computeIfAbsent(entry.endpoint.destination(), destination -> new ArrayList<>())
                    .add(entry.address.id());
        }
        return ids;
    }

    /**
     * Applies a list of discovery.
     *
     * @param servers the entries
     * @param complete whether they are all; else only those that changed
     * @return the entries, those of removed endpoints too
     */
    public List<ListedEndpoint> update(JsonValue servers, boolean complete) {
        if (complete) {
            entries.clear();
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (JsonValue server : servers.items()) {
            ListedEndpoint endpoint = endpoint(server);
            endpoints.add(endpoint);
            apply(endpoint, server.get("addr"));
        }
        return endpoints;
    }

    private ListedEndpoint endpoint(JsonValue server) {
        EndpointStatus status = switch (server.get("state").asText("")) {
            case READY_STATE -> EndpointStatus.READY;
            case GONE_STATE -> EndpointStatus.GONE;
            default -> EndpointStatus.DRAINING;
        };
        return new ListedEndpoint(
                server.get("id").asText(""),
                server.get("cell").asLong(0),
                Math.max(0, kinds.indexOf(server.get("kind").asText(""))),
                Math.max(0, zones.indexOf(server.get("zone").asText(""))),
                status,
                server.get("weight").asDouble(1));
    }

    private void apply(ListedEndpoint endpoint, JsonValue address) {
        String id = endpoint.address();
        if (endpoint.status() == EndpointStatus.GONE) {
            entries.remove(id);
            return;
        }
        // a change without an address leaves the address as it was
        EndpointAddress reached = address.isPresent() ? new EndpointAddress(id, address.asText("")) : addressOf(id);
        entries.put(id, new Entry(reached, endpoint));
    }

    /** The complete list in discovery's format, under this version. */
    String encode(long version) {
        StringBuilder json = new StringBuilder("{\"version\":").append(version).append(",\"full\":true,\"servers\":[");
        String separator = "";
        for (Entry entry : entries.values()) {
            json.append(separator);
            append(entry, json);
            separator = ",";
        }
        return json.append("]}").toString();
    }

    private void append(Entry entry, StringBuilder json) {
        ListedEndpoint endpoint = entry.endpoint;
        json.append("{\"id\":")
                .append(JsonValue.quote(endpoint.address()))
                .append(",\"addr\":")
                .append(JsonValue.quote(entry.address.address()))
                .append(",\"zone\":")
                .append(JsonValue.quote(zones.get(endpoint.zone())))
                .append(",\"kind\":")
                .append(JsonValue.quote(kinds.get(endpoint.kind())))
                .append(",\"cell\":")
                .append(endpoint.destination())
                .append(",\"state\":\"")
                .append(endpoint.status() == EndpointStatus.READY ? READY_STATE : DRAINING_STATE)
                .append("\",\"weight\":")
                .append(endpoint.weight())
                .append(",\"started_ms\":0}");
    }
}
