package elderseam.testkit.emulator;

import elderseam.settings.SectionFile;
import elderseam.settings.SectionFile.Section;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads a {@link Scenario} from a file. A file with faults gives no scenario, and all of its faults are reported together. */
public final class ScenarioFile {
    private static final List<String> SECTION_KINDS = List.of(
            "scenario", "fleet", "kind", "trouble", "clients", "flood", "restart", "drain", "network", "discovery");

    private static final int MAX_DESTINATIONS = 100_000;
    private static final int MAX_REQUESTS = 100_000_000;

    /** Highest time or duration, in the unit of its key. */
    private static final double MAX_TIME = 1e6;

    private static final int MAX_MILLIS = 3_600_000;
    private static final int MAX_TENANTS = 100;
    private static final double[] DEFAULT_MIX = {5, 3, 2};

    private final List<String> faults = new ArrayList<>();
    private final List<Section> sections;
    private final String file;

    /** The sections whose values were read, in this order. */
    private final List<SectionValues> readSections = new ArrayList<>();

    private ScenarioFile(String file, List<String> lines) {
        this.file = file;
        this.sections = SectionFile.read(file, lines, SECTION_KINDS, faults);
    }

    /**
     * Reads a scenario.
     *
     * @throws SettingsFault if the file has faults
     * @throws IOException if the file can't be read
     */
    public static Scenario read(Path file) throws IOException {
        return of(file.toString(), Settings.lines(file, "a scenario"), Map.of());
    }

    /**
     * Parses a scenario.
     *
     * @param file name for messages
     * @param overrides values by {@code kind.name.key} that replace those of the lines
     * @throws SettingsFault if the lines or the overrides have faults
     */
    public static Scenario of(String file, List<String> lines, Map<String, String> overrides) throws SettingsFault {
        ScenarioFile parser = new ScenarioFile(file, lines);
        overrides.forEach(parser::override);
        if (parser.faults.isEmpty()) {
            Scenario scenario = parser.parse();
            if (parser.faults.isEmpty()) {
                return scenario;
            }
        }
        throw new SettingsFault(parser.faults);
    }

    private void override(String path, String value) {
        String[] names = path.split("\\.");
        Optional<Section> section = names.length == 3 ? section(names[0], names[1]) : Optional.empty();
        if (section.isEmpty()) {
            faults.add(file + ": " + path + " is no value of it, allowed: KIND.NAME.KEY of a section that is there");
            return;
        }
        SectionFile.Value replacement =
                new SectionFile.Value(value, section.get().line(), 1);
        section.get().values().put(names[2], new ArrayList<>(List.of(replacement)));
    }

    private Optional<Section> section(String kind, String name) {
        return sections.stream()
                .filter(section -> section.kind().equals(kind) && section.name().equals(name))
                .findFirst();
    }

    /** Reads the sections in the order in which their faults are reported. */
    private Scenario parse() {
        SectionValues general = single("scenario");
        SectionValues fleet = single("fleet");
        SectionValues clients = single("clients");
        SectionValues network = single("network");
        SectionValues discovery = single("discovery");
        double seconds = general.number("seconds", 0.1, 1_000_000, 60);
        Scenario.Fleet parsedFleet = fleet(fleet);
        List<Scenario.Kind> kinds = all("kind").stream().map(ScenarioFile::kind).toList();
        List<SectionValues> troubles = all("trouble");
        List<Scenario.Trouble> parsedTroubles =
                troubles.stream().map(ScenarioFile::trouble).toList();
        Scenario.Clients parsedClients = clients(clients);
        List<Scenario.Flood> floods =
                all("flood").stream().map(ScenarioFile::flood).toList();
        List<Scenario.Restart> restarts =
                all("restart").stream().map(ScenarioFile::restart).toList();
        List<SectionValues> drains = all("drain");
        Scenario scenario = new Scenario(
                general.name(),
                seconds,
                parsedFleet,
                kinds,
                parsedTroubles,
                parsedClients,
                floods,
                restarts,
                drains.stream().map(ScenarioFile::drain).toList(),
                network(network),
                discovery(discovery));
        checkSize(scenario);
        checkKinds(troubles, kinds);
        checkKinds(drains, kinds);
        readSections.forEach(SectionValues::checkKeys);
        return scenario;
    }

    private List<SectionValues> all(String kind) {
        List<SectionValues> all = sections.stream()
                .filter(section -> section.kind().equals(kind))
                .map(section -> SectionValues.of(section, faults))
                .toList();
        readSections.addAll(all);
        return all;
    }

    /** The only section of a kind; a second one is a fault. */
    private SectionValues single(String kind) {
        List<SectionValues> all = all(kind);
        if (all.size() > 1) {
            sections.stream()
                    .filter(section -> section.kind().equals(kind))
                    .skip(1)
                    .findFirst()
                    .ifPresent(second -> faults.add(second.place() + "a second " + kind + ", allowed: one"));
        }
        return all.isEmpty() ? SectionValues.absent(faults) : all.get(0);
    }

    private void checkSize(Scenario scenario) {
        if (scenario.kinds().isEmpty() && faults.isEmpty()) {
            faults.add(file + ": no kind of destination, allowed: at least one [kind NAME]");
        }
        int destinations = scenario.destinationCount();
        if (destinations > MAX_DESTINATIONS) {
            faults.add(file + ": " + destinations + " destinations, allowed: " + MAX_DESTINATIONS);
        }
        double requests = scenario.requestRate() * scenario.seconds();
        if (requests > MAX_REQUESTS) {
            faults.add(file + ": about " + (long) requests + " messages, allowed: " + MAX_REQUESTS);
        }
    }

    /** Checks that each of the sections names a kind that there is. */
    private static void checkKinds(List<SectionValues> referring, List<Scenario.Kind> kinds) {
        List<String> names = kinds.stream().map(Scenario.Kind::name).toList();
        for (SectionValues section : referring) {
            section.allow("kind");
            if (!names.contains(section.text("kind"))) {
                section.addFault("kind", "is no kind, allowed: " + String.join(", ", names));
            }
        }
    }

    private static Scenario.Fleet fleet(SectionValues values) {
        return new Scenario.Fleet(
                values.integer("dispatchers", 1, 1_000, 4),
                values.integer("slots", 1, 100_000, 64),
                values.integer("held", 1, 1_000_000, 400),
                values.integer("attempts", 1, 1_000, 8),
                values.integer("connections", 0, 1_000_000, 0),
                values.number("hot", 1, 100, 1));
    }

    private static Scenario.Kind kind(SectionValues values) {
        return new Scenario.Kind(
                values.name(),
                values.integer("destinations", 1, MAX_DESTINATIONS, 4),
                values.integer("endpoints", 1, 100, 2),
                values.number("per_s", 0.001, 1e6, 40),
                values.constant("limit", Scenario.Limit.class, Scenario.Limit.RATE),
                values.integer("window_ms", 10, MAX_MILLIS, 1_000),
                values.flag("told", true),
                values.flag("refused_count", false),
                values.integer("slots", 0, 100_000, 0),
                values.integer("queue", 0, 100_000, 50),
                values.number("service_ms", 0.01, 60_000, 40),
                values.number("spread", 0, 3, 0.5),
                values.number("errors", 0, 1, 0.01),
                values.number("connect_ms", 0, 10_000, 1),
                values.integer("idle_ms", 0, MAX_MILLIS, 5_000),
                values.flag("report", false),
                values.number("report_noise", 0, 10, 0),
                values.number("cold_share", 0.01, 1, 0.25),
                values.integer("cold_ms", 0, MAX_MILLIS, 10_000),
                values.number("fall_multiple", 0.1, 1_000, 2),
                values.integer("fall_ms", 0, MAX_MILLIS, 2_000),
                values.number("load", 0, 100, 0.6));
    }

    private static Scenario.Trouble trouble(SectionValues values) {
        return new Scenario.Trouble(
                values.name(),
                values.text("kind"),
                values.number("part", 0, 1, 1),
                values.number("at", 0, MAX_TIME, 0),
                values.number("for", 0, MAX_TIME, 10),
                values.constant("fault", Scenario.Fault.class, Scenario.Fault.FAIL),
                values.number("factor", 1, 1e6, 10));
    }

    private static Scenario.Clients clients(SectionValues values) {
        double[] mix = mix(values);
        return new Scenario.Clients(
                values.constant("arrivals", Scenario.Arrivals.class, Scenario.Arrivals.POISSON),
                values.number("scale", 0, 1_000, 1),
                values.integer("tenants", 1, MAX_TENANTS, 4),
                mix,
                values.integer("clump", 1, 10_000, 20),
                values.number("burst", 1, 1_000, 4),
                values.integer("retries", 0, 1_000, 8),
                values.flag("month_end", false));
    }

    /** Three numbers, not all of them 0. */
    private static double[] mix(SectionValues values) {
        values.allow("mix");
        if (!values.has("mix")) {
            return DEFAULT_MIX.clone();
        }
        String[] numbers = values.text("mix").strip().split(" +");
        String digits = String.join("", numbers);
        if (numbers.length != DEFAULT_MIX.length || !digits.matches("[0-9.]+") || digits.matches("[0.]+")) {
            values.addFault(
                    "mix", "can't be used, allowed: three numbers, of status updates, job orders and rent payments");
            return DEFAULT_MIX.clone();
        }
        return Arrays.stream(numbers).mapToDouble(Double::parseDouble).toArray();
    }

    private static Scenario.Flood flood(SectionValues values) {
        return new Scenario.Flood(
                values.name(),
                values.integer("tenant", 1, MAX_TENANTS, 1),
                values.number("factor", 0, 1_000, 5.9),
                values.number("at", 0, MAX_TIME, 0),
                values.number("for", 0, MAX_TIME, MAX_TIME));
    }

    private static Scenario.Restart restart(SectionValues values) {
        return new Scenario.Restart(
                values.name(),
                values.number("at", 0, MAX_TIME, 0),
                values.number("within", 0, MAX_TIME, 0),
                values.number("part", 0, 1, 1),
                values.constant("how", Scenario.How.class, Scenario.How.KILL),
                values.number("down_ms", 0, MAX_TIME, 1_500));
    }

    private static Scenario.Drain drain(SectionValues values) {
        return new Scenario.Drain(
                values.name(),
                values.text("kind"),
                values.number("part", 0, 1, 1),
                values.number("at", 0, MAX_TIME, 0));
    }

    private static Scenario.Network network(SectionValues values) {
        return new Scenario.Network(
                values.number("delay_ms", 0, 10_000, 0.5),
                values.number("jitter_ms", 0, 10_000, 0.5),
                values.number("loss", 0, 1, 0));
    }

    private static Scenario.Discovery discovery(SectionValues values) {
        return new Scenario.Discovery(
                values.number("late_ms", 0, MAX_TIME, 50),
                values.number("down_at", 0, MAX_TIME, 0),
                values.number("down_for", 0, MAX_TIME, 0),
                values.number("wrong", 0, 1, 0));
    }
}
