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
 * The configuration provided by the platform: the RELAY environment variables and the JSON file whose path is in
 * RELAY_CONFIG. Read at startup and again on SIGHUP. Immutable.
 *
 * @param listenAddress the address to which the platform's clients connect
 * @param controlAddress the control address, to which operators connect; null if there is none
 * @param discoveryAddress the address of discovery, as {@code host:port}. The file takes precedence over the
 *     environment variable, since the file may be replaced while the process runs
 * @param stateDirectory the directory of files that persist across restarts of the process
 * @param seed the seed of the policy's random numbers
 * @param limits the resource limits of the process
 * @param settings the validated settings of the deployment
 * @param cachedEndpointList the endpoint list to use at startup, in discovery's format; may be absent
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
    /** The environment variable with the path of the configuration file. */
    public static final String FILE_VARIABLE = "RELAY_CONFIG";

    private static final double DEFAULT_DISK_MB = 3;
    private static final double BYTES_PER_MB = 1_000_000;
    private static final long DEFAULT_DESCRIPTORS = 1_024;
    private static final long DEFAULT_MEMORY_MB = 192;
    private static final int SEED_RADIX = 16;
    private static final String KEY_QUIET_PERIOD_SETTING = "safety.keyQuietNs";

    /** Added to each time limit in the settings when sockets are used (the platform's protocol, "The rules"). */
    private static final long SOCKET_TOLERANCE_NS = 50_000_000;

    /**
     * Reads and validates the configuration.
     *
     * @param variables the environment variables
     * @throws IOException if the file can't be read, or its settings are invalid
     * @throws IllegalArgumentException if a variable is missing or malformed
     */
    public static PlatformConfiguration read(Map<String, String> variables) throws IOException {
        JsonValue file = readFile(variables);
        String discoveryAddress = file.get("discovery").isPresent()
                ? file.get("discovery").asText("")
                : required(variables, "RELAY_DISCOVERY");
        parseAddress(discoveryAddress); // reports a malformed address at startup
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
            throw new IOException("the configuration file is not a JSON object");
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
        // A separate process receives the endpoint list only in responses of discovery. If the settings specify that
        // the
        // list is pushed, the process watches discovery instead.
        values.put("discovery", "ask");
        SettingsMap checked = new SettingsMap(values);
        long keyQuietPeriodNs = checked.getLong(KEY_QUIET_PERIOD_SETTING, 0) + SOCKET_TOLERANCE_NS;
        values.put(KEY_QUIET_PERIOD_SETTING, Long.toString(keyQuietPeriodNs));
        return checked;
    }

    private static ResourceLimits readLimits(JsonValue limits) {
        return new ResourceLimits(
                (long) (limits.get("disk_mb").asDouble(DEFAULT_DISK_MB) * BYTES_PER_MB),
                (int) limits.get("sockets").asLong(DEFAULT_DESCRIPTORS),
                (int) limits.get("memory_mb").asLong(DEFAULT_MEMORY_MB));
    }

    /**
     * The control address; may be empty. The environment variable takes precedence over the file: a second process has
     * its own variable, but may read the file of the first process.
     */
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
     * Parses an address such as {@code 127.0.0.1:8080}. A host name is resolved.
     *
     * @throws IllegalArgumentException if the text is not a valid address
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is not an address:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Stores each scalar under its dotted path. A list of scalars is stored as one text, separated by commas. */
    private static void flatten(String path, JsonValue value, Map<String, String> values) {
        if (value.isObject()) {
            value.fields().forEach((name, field) -> flatten(path.isEmpty() ? name : path + "." + name, field, values));
        } else if (value.isList() && isListOfScalars(value)) {
            values.put(path, joinScalars(value.items()));
        } else if (value.isList()) {
            flattenItems(path, value.items(), values);
        } else {
            values.put(path, value.asText("null"));
        }
    }

    /** The texts of scalars, separated by commas. Leading empty texts are omitted. */
    private static String joinScalars(List<JsonValue> scalars) {
        StringBuilder text = new StringBuilder();
        for (JsonValue scalar : scalars) {
            text.append(text.isEmpty() ? "" : ",").append(scalar.asText(""));
        }
        return text.toString();
    }

    private static boolean isListOfScalars(JsonValue list) {
        return list.items().isEmpty() || !list.items().get(0).isObject();
    }

    private static void flattenItems(String path, List<JsonValue> items, Map<String, String> values) {
        values.put(path + ".count", Integer.toString(items.size()));
        for (int i = 0; i < items.size(); i++) {
            flatten(path + "." + i, items.get(i), values);
        }
    }
}
