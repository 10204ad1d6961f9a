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

/** The upstream hosts in discovery's form: decoded here once, and where each is reached from this dispatcher. */
public final class EndpointList {
    /** One that is listed. */
    private record Listed(EndpointAddress host, ListedEndpoint entry) {}

    private final Map<String, Listed> listed = new HashMap<>();
    private final List<String> kinds, zones;

    public EndpointList(SettingsMap settings) {
        this.kinds = settings.list("flavors");
        this.zones = settings.list("localities");
    }

    /** That host; one that is not listed has no address. */
    public EndpointAddress host(String id) {
        Listed known = listed.get(id);
        return known == null ? new EndpointAddress(id, "") : known.host;
    }

    /** The hosts of a destination, by their ids. */
    public List<String> of(long destination) {
        return listed.values().stream()
                .filter(l -> l.entry.destination() == destination)
                .map(l -> l.host.id())
                .toList();
    }

    /** All that are listed, by destination. */
    public Map<Long, List<String>> all() {
        Map<Long, List<String>> all = new HashMap<>();
        listed.values()
                .forEach(l -> all.computeIfAbsent(l.entry.destination(), d -> new ArrayList<>())
                        .add(l.host.id()));
        return all;
    }

    /** The entries of a list, by which hosts come and go; {@code whole}: all others go. */
    public List<ListedEndpoint> decode(JsonValue servers, boolean whole) {
        if (whole) {
            listed.clear();
        }
        List<ListedEndpoint> entries = new ArrayList<>();
        for (JsonValue s : servers.items()) {
            String id = s.get("id").asText("");
            EndpointStatus listing = switch (s.get("state").asText("")) {
                case "SERVING" -> EndpointStatus.READY;
                case "DELETED" -> EndpointStatus.GONE;
                default -> EndpointStatus.DRAINING;
            };
            ListedEndpoint e = new ListedEndpoint(
                    id,
                    s.get("cell").asLong(0),
                    Math.max(0, kinds.indexOf(s.get("kind").asText(""))),
                    Math.max(0, zones.indexOf(s.get("zone").asText(""))),
                    listing,
                    s.get("weight").asDouble(1));
            entries.add(e);
            if (listing == EndpointStatus.GONE) {
                listed.remove(id);
            } else { // a change that tells no address leaves it as it was
                listed.put(
                        id,
                        new Listed(
                                s.get("addr").isPresent()
                                        ? new EndpointAddress(id, s.get("addr").asText(""))
                                        : host(id),
                                e));
            }
        }
        return entries;
    }

    /** The list as it stands, in discovery's form. */
    String encoded(long version) {
        StringBuilder text = new StringBuilder("{\"version\":").append(version).append(",\"full\":true,\"servers\":[");
        String between = "";
        for (Listed l : listed.values()) {
            ListedEndpoint e = l.entry;
            text.append(between)
                    .append("{\"id\":")
                    .append(JsonValue.quote(e.address()))
                    .append(",\"addr\":")
                    .append(JsonValue.quote(l.host.address()))
                    .append(",\"zone\":")
                    .append(JsonValue.quote(zones.get(e.zone())))
                    .append(",\"kind\":")
                    .append(JsonValue.quote(kinds.get(e.kind())))
                    .append(",\"cell\":")
                    .append(e.destination())
                    .append(",\"state\":\"")
                    .append(e.status() == EndpointStatus.READY ? "SERVING" : "DRAINING")
                    .append("\",\"weight\":")
                    .append(e.weight())
                    .append(",\"started_ms\":0}");
            between = ",";
        }
        return text.append("]}").toString();
    }
}
