package elderseam.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.core.SettingsMap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What this dispatcher is told by the RELAY variables and the file that one of them names, at its start and again on
 *  SIGHUP. Where both name discovery the file counts, since it may have been replaced. */
public record Config(InetSocketAddress listen, String discovery, Path state, long seed, Limits limits,
                     SettingsMap settings, JsonNode known) {

    public static Config read(Map<String, String> variables) throws IOException {
        JsonNode json = new ObjectMapper().readTree(Files.readAllBytes(Path.of(told(variables, "RELAY_CONFIG"))));
        if (!json.isObject()) {
            throw new IOException("the configuration is no JSON object");
        }
        String discovery = json.hasNonNull("discovery") ? json.get("discovery").asText() : told(variables, "RELAY_DISCOVERY");
        address(discovery);   // an unusable one is named now
        Map<String, String> paths = new HashMap<>();
        flatten("", json.path("settings"), paths);
        long seed = Long.parseUnsignedLong(json.path("seed").asText("1"), 16);
        JsonNode told = json.path("limits");
        Limits limits = new Limits((long) (told.path("disk_mb").asDouble(3) * 1_000_000),
                told.path("sockets").asInt(1_024), told.path("memory_mb").asInt(192));
        return new Config(address(told(variables, "RELAY_LISTEN")), discovery,
                Path.of(told(variables, "RELAY_STATE")), seed, limits, new SettingsMap(paths), json.path("known"));
    }

    private static String told(Map<String, String> variables, String name) {
        String value = variables.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(name + " is not set");
        }
        return value;
    }

    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is no address:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static void flatten(String path, JsonNode node, Map<String, String> into) {
        if (node.isObject()) {
            node.fields().forEachRemaining(f ->
                    flatten(path.isEmpty() ? f.getKey() : path + "." + f.getKey(), f.getValue(), into));
        } else if (node.isArray() && (node.isEmpty() || !node.get(0).isObject())) {
            StringBuilder list = new StringBuilder();
            node.forEach(n -> list.append(list.isEmpty() ? "" : ",").append(n.asText()));
            into.put(path, list.toString());
        } else if (node.isArray()) {
            into.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), into);
            }
        } else {
            into.put(path, node.asText());
        }
    }
}
