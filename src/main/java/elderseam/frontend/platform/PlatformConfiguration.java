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

/**
 * What the platform sets: the RELAY variables of the environment and the JSON file that RELAY_CONFIG names. Read at the
 * start and again on SIGHUP. Immutable.
 *
 * @param listenAddress where the platform's clients connect
 * @param controlAddress where operators connect, or null
 * @param discoveryAddress where discovery is, as {@code host:port}. The file outranks the variable, since it may have
 *     been replaced while the process runs
 * @param stateDirectory holds what outlasts the process
 * @param seed of the policy's random numbers
 * @param limits what the process may use
 * @param settings the deployment's settings, checked
 * @param cachedEndpointList the endpoint list that is known at the start, in discovery's format; may be absent
 */
public record PlatformConfiguration(
        InetSocketAddress listenAddress,
        InetSocketAddress controlAddress,
        String discoveryAddress,
        Path stateDirectory,
        long seed,
        ResourceLimits limits,
        SettingsMap settings,
        JsonValue cachedEndpointList) {
    private static final String FILE_VARIABLE = "RELAY_CONFIG";
    private static final double DEFAULT_DISK_MB = 3;
    private static final double BYTES_PER_MB = 1_000_000;
    private static final long DEFAULT_DESCRIPTORS = 1_024;
    private static final long DEFAULT_MEMORY_MB = 192;
    private static final int SEED_RADIX = 16;
    private static final String KEY_REST_SETTING = "safety.keyQuietNs";

    /** On sockets each limit of time is so much longer than the settings say (the platform's protocol, "The rules"). */
    private static final long SOCKET_TOLERANCE_NS = 50_000_000;

    /**
     * Reads and checks the configuration.
     *
     * @param variables the environment
     * @throws IOException if the file can't be read, or its settings can't be used
     * @throws IllegalArgumentException if a variable is missing or malformed
     */
    public static PlatformConfiguration read(Map<String, String> variables) throws IOException {
        JsonValue file = readFile(variables);
        String discoveryAddress = file.get("discovery").isPresent()
                ? file.get("discovery").asText("")
                : required(variables, "RELAY_DISCOVERY");
        parseAddress(discoveryAddress); // an unusable one is reported now
        SettingsMap settings = readSettings(file.get("settings"), variables);
        long seed = Long.parseUnsignedLong(file.get("seed").asText("1"), SEED_RADIX);
        ResourceLimits limits = readLimits(file.get("limits"));
        String controlAddress = controlAddress(file, variables);
        return new PlatformConfiguration(
                parseAddress(required(variables, "RELAY_LISTEN")),
                controlAddress.isEmpty() ? null : parseAddress(controlAddress),
                discoveryAddress,
                Path.of(required(variables, "RELAY_STATE")),
                seed,
                limits,
                settings,
                file.get("known"));
    }

    private static JsonValue readFile(Map<String, String> variables) throws IOException {
        JsonValue file = JsonValue.read(Files.readAllBytes(Path.of(required(variables, FILE_VARIABLE))));
        if (!file.isObject()) {
            throw new IOException("the configuration is no JSON object");
        }
        return file;
    }

    private static SettingsMap readSettings(JsonValue settings, Map<String, String> variables) throws IOException {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        List<String> faults = SettingsValidator.faults(new SettingsMap(values));
        if (!faults.isEmpty()) {
            String prefix = required(variables, FILE_VARIABLE) + ": settings.";
            throw new IOException(faults.stream().map(fault -> prefix + fault).collect(Collectors.joining("\n")));
        }
        // A list reaches a process of its own only as an answer: where it is said to be pushed, it comes to a watch.
        values.put("discovery", "ask");
        SettingsMap checked = new SettingsMap(values);
        long keyRestNs = checked.getLong(KEY_REST_SETTING, 0) + SOCKET_TOLERANCE_NS;
        values.put(KEY_REST_SETTING, Long.toString(keyRestNs));
        return checked;
    }

    private static ResourceLimits readLimits(JsonValue limits) {
        return new ResourceLimits(
                (long) (limits.get("disk_mb").asDouble(DEFAULT_DISK_MB) * BYTES_PER_MB),
                (int) limits.get("sockets").asLong(DEFAULT_DESCRIPTORS),
                (int) limits.get("memory_mb").asLong(DEFAULT_MEMORY_MB));
    }

    /** The variable outranks the file: a second process has its own, and may find the first one's file. May be empty. */
    private static String controlAddress(JsonValue file, Map<String, String> variables) {
        String address = variables.getOrDefault("RELAY_CONTROL", "");
        return address.isEmpty() ? file.get("control").asText("") : address;
    }

    private static String required(Map<String, String> variables, String name) {
        String value = variables.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(name + " is not set");
        }
        return value;
    }

    /**
     * The address that a text such as {@code 127.0.0.1:8080} stands for. A host's name is resolved.
     *
     * @throws IllegalArgumentException if the text is none
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is no address:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Puts a value's scalars under their dotted paths, and a list of scalars as one text, separated by commas. */
    private static void flatten(String path, JsonValue value, Map<String, String> into) {
        if (value.isObject()) {
            value.fields().forEach((name, field) -> flatten(path.isEmpty() ? name : path + "." + name, field, into));
        } else if (value.isList() && isListOfScalars(value)) {
            into.put(path, joined(value.items()));
        } else if (value.isList()) {
            flattenItems(path, value.items(), into);
        } else {
            into.put(path, value.asText("null"));
        }
    }

    /** The texts of scalars, separated by commas. Empty texts before the first other one are left out. */
    private static String joined(List<JsonValue> scalars) {
        StringBuilder text = new StringBuilder();
        for (JsonValue scalar : scalars) {
            text.append(text.isEmpty() ? "" : ",").append(scalar.asText(""));
        }
        return text.toString();
    }

    private static boolean isListOfScalars(JsonValue list) {
        return list.items().isEmpty() || !list.items().get(0).isObject();
    }

    private static void flattenItems(String path, List<JsonValue> items, Map<String, String> into) {
        into.put(path + ".count", Integer.toString(items.size()));
        for (int i = 0; i < items.size(); i++) {
            flatten(path + "." + i, items.get(i), into);
        }
    }
}
