package elderseam.frontend.platform;

import elderseam.core.JsonValue;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListedEndpoint;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Discovery's endpoint list, decoded from and encoded in discovery's JSON format. Confined to the I/O thread. */
public final class EndpointList {
    private static final String READY_STATE = "SERVING";
    private static final String DELETED_STATE = "DELETED";
    private static final String DRAINING_STATE = "DRAINING";
    private static final long NO_VERSION = -1;

    /** An endpoint and the network address at which this dispatcher connects to it. */
    private record Entry(EndpointAddress address, ListedEndpoint endpoint) {}

    private final Map<String, Entry> entries = new HashMap<>(); // by endpoint id
    private final List<String> kinds;
    private final List<String> zones;

    /** Creates an empty list. The settings define the known kinds of endpoints and the known zones. */
    public EndpointList(SettingsMap settings) {
        this.kinds = settings.list("flavors");
        this.zones = settings.list("localities");
    }

    /**
     * Checks that a response of discovery holds a list in which every entry names its endpoint.
     *
     * @throws IOException if it does not, so that an entry, perhaps a removal, would be lost
     */
    static void requireReadable(JsonValue response) throws IOException {
        boolean hasVersion = response.get("version").asLong(NO_VERSION) != NO_VERSION;
        if (!hasVersion || !response.get("servers").isList()) {
            throw new IOException("expected a version and a list of servers");
        }
        for (JsonValue server : response.get("servers").items()) {
            if (server.get("id").asText("").isEmpty()) {
                throw new IOException("a server without an id");
            }
        }
    }

    /** The network address of an endpoint; its text is empty if the endpoint is not listed. */
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
     * Applies a list received from discovery.
     *
     * @param servers the entries
     * @param complete true if the entries replace the whole list, false if they are only the changed entries
     * @return the entries, including those of removed endpoints
     */
    public List<ListedEndpoint> update(JsonValue servers, boolean complete) {
        if (complete) {
            entries.clear();
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (JsonValue server : servers.items()) {
            ListedEndpoint endpoint = parseEndpoint(server);
            endpoints.add(endpoint);
            apply(endpoint, server.get("addr"));
        }
        return endpoints;
    }

    private ListedEndpoint parseEndpoint(JsonValue server) {
        EndpointStatus status = switch (server.get("state").asText("")) {
            case READY_STATE -> EndpointStatus.READY;
            case DELETED_STATE -> EndpointStatus.GONE;
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
        // a change that omits the address keeps the previous address
        EndpointAddress networkAddress =
                address.isPresent() ? new EndpointAddress(id, address.asText("")) : addressOf(id);
        entries.put(id, new Entry(networkAddress, endpoint));
    }

    /** Encodes the complete list in discovery's format, with this version. */
    String encode(long version) {
        StringBuilder json = new StringBuilder("{\"version\":").append(version).append(",\"full\":true,\"servers\":[");
        String separator = "";
        for (Entry entry : entries.values()) {
            json.append(separator);
            appendEntry(entry, json);
            separator = ",";
        }
        return json.append("]}").toString();
    }

    private void appendEntry(Entry entry, StringBuilder json) {
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
