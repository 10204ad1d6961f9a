package elderseam.frontend.platform;

import elderseam.core.JsonValue;
import elderseam.core.SettingsMap;
import elderseam.core.SettingsValidator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** What this dispatcher is told by the RELAY variables and the file that one of them names, at its start and again on
 *  SIGHUP; {@code control}, the second address, may be null. Where both name discovery the file counts, since it may have been replaced. */
public record PlatformConfiguration(
        InetSocketAddress listen,
        InetSocketAddress control,
        String discovery,
        Path state,
        long seed,
        ResourceLimits limits,
        SettingsMap settings,
        JsonValue known) {

    public static PlatformConfiguration read(Map<String, String> variables) throws IOException {
        JsonValue json = JsonValue.read(Files.readAllBytes(Path.of(told(variables, "RELAY_CONFIG"))));
        if (!json.isObject()) {
            throw new IOException("the configuration is no JSON object");
        }
        String discovery = json.get("discovery").isPresent()
                ? json.get("discovery").asText("")
                : told(variables, "RELAY_DISCOVERY");
        address(discovery); // an unusable one is named now
        Map<String, String> paths = new HashMap<>();
        flatten("", json.get("settings"), paths);
        List<String> faults = SettingsValidator.faults(new SettingsMap(paths));
        if (!faults.isEmpty()) {
            throw new IOException(faults.stream()
                    .map(f -> told(variables, "RELAY_CONFIG") + ": settings." + f)
                    .collect(Collectors.joining("\n")));
        }
        paths.put(
                "discovery",
                "ask"); // on sockets a list comes to who asks, and whatever is pushed to an agent goes to a watch
        long seed = Long.parseUnsignedLong(json.get("seed").asText("1"), 16);
        JsonValue told = json.get("limits");
        ResourceLimits limits = new ResourceLimits(
                (long) (told.get("disk_mb").asDouble(3) * 1_000_000),
                (int) told.get("sockets").asLong(1_024),
                (int) told.get("memory_mb").asLong(192));
        String control = variables.getOrDefault(
                "RELAY_CONTROL", ""); // a second process has its own, and may find the first one's file
        control = control.isEmpty() ? json.get("control").asText("") : control;
        return new PlatformConfiguration(
                address(told(variables, "RELAY_LISTEN")),
                control.isEmpty() ? null : address(control),
                discovery,
                Path.of(told(variables, "RELAY_STATE")),
                seed,
                limits,
                new SettingsMap(paths),
                json.get("known"));
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

    private static void flatten(String path, JsonValue node, Map<String, String> into) {
        if (node.isObject()) {
            node.fields().forEach((name, field) -> flatten(path.isEmpty() ? name : path + "." + name, field, into));
        } else if (node.isList()
                && (node.items().isEmpty() || !node.items().get(0).isObject())) {
            StringBuilder list = new StringBuilder();
            node.items().forEach(n -> list.append(list.isEmpty() ? "" : ",").append(n.asText("")));
            into.put(path, list.toString());
        } else if (node.isList()) {
            into.put(path + ".count", Integer.toString(node.items().size()));
            for (int i = 0; i < node.items().size(); i++) {
                flatten(path + "." + i, node.items().get(i), into);
            }
        } else {
            into.put(path, node.asText("null"));
        }
    }
}
