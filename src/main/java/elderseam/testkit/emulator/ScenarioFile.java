package elderseam.testkit.emulator;

import elderseam.settings.SectionFile;
import elderseam.settings.SectionFile.Section;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A scenario file to a {@link Scenario}: whole or not at all, every fault told with its place and what is allowed. */
public final class ScenarioFile {
    private static final List<String> KINDS = List.of(
            "scenario", "fleet", "kind", "trouble", "clients", "flood", "restart", "drain", "network", "discovery");

    private final List<String> faults = new ArrayList<>();
    private final List<Section> sections;
    private final Map<Section, List<String>> asked = new LinkedHashMap<>();
    private final String file;

    private ScenarioFile(String file, List<String> lines) {
        this.file = file;
        this.sections = SectionFile.read(file, lines, KINDS, faults);
    }

    public static Scenario read(Path file) throws IOException {
        return of(file.toString(), Settings.lines(file, "a scenario"), Map.of());
    }

    /** {@code set}: values by {@code kind.name.key} that take the place of the file's, as a sweep has them. */
    public static Scenario of(String file, List<String> lines, Map<String, String> set) throws SettingsFault {
        ScenarioFile p = new ScenarioFile(file, lines);
        set.forEach(p::set);
        Scenario plan = p.faults.isEmpty() ? p.plan() : null;
        if (!p.faults.isEmpty()) {
            throw new SettingsFault(p.faults);
        }
        return plan;
    }

    private void set(String path, String value) {
        String[] part = path.split("\\.");
        Section s = part.length == 3
                ? sections.stream()
                        .filter(x -> x.kind().equals(part[0]) && x.name().equals(part[1]))
                        .findFirst()
                        .orElse(null)
                : null;
        if (s == null) {
            faults.add(file + ": " + path + " is no value of it, allowed: KIND.NAME.KEY of a section that is there");
        } else {
            s.values().put(part[2], new ArrayList<>(List.of(new SectionFile.Value(value, s.line(), 1))));
        }
    }

    private Scenario plan() {
        Section scenario = one("scenario");
        Section fleet = one("fleet");
        Section clients = one("clients");
        Section network = one("network");
        Section discovery = one("discovery");
        Scenario plan = new Scenario(
                scenario == null ? "" : scenario.name(),
                number(scenario, "seconds", 0.1, 1_000_000, 60),
                new Scenario.Fleet(
                        whole(fleet, "dispatchers", 1, 1_000, 4),
                        whole(fleet, "slots", 1, 100_000, 64),
                        whole(fleet, "held", 1, 1_000_000, 400),
                        whole(fleet, "attempts", 1, 1_000, 8),
                        whole(fleet, "connections", 0, 1_000_000, 0),
                        number(fleet, "hot", 1, 100, 1)),
                all("kind").stream().map(this::kind).toList(),
                all("trouble").stream().map(this::trouble).toList(),
                clients(clients),
                all("flood").stream()
                        .map(s -> new Scenario.Flood(
                                s.name(),
                                whole(s, "tenant", 1, 100, 1),
                                number(s, "factor", 0, 1_000, 5.9),
                                number(s, "at", 0, 1e6, 0),
                                number(s, "for", 0, 1e6, 1e6)))
                        .toList(),
                all("restart").stream()
                        .map(s -> new Scenario.Restart(
                                s.name(),
                                number(s, "at", 0, 1e6, 0),
                                number(s, "within", 0, 1e6, 0),
                                number(s, "part", 0, 1, 1),
                                word(s, "how", Scenario.How.class, Scenario.How.KILL),
                                number(s, "down_ms", 0, 1e6, 1_500)))
                        .toList(),
                all("drain").stream()
                        .map(s -> new Scenario.Drain(
                                s.name(), s.text("kind", ""), number(s, "part", 0, 1, 1), number(s, "at", 0, 1e6, 0)))
                        .toList(),
                new Scenario.Network(
                        number(network, "delay_ms", 0, 10_000, 0.5),
                        number(network, "jitter_ms", 0, 10_000, 0.5),
                        number(network, "loss", 0, 1, 0)),
                new Scenario.Discovery(
                        number(discovery, "late_ms", 0, 1e6, 50),
                        number(discovery, "down_at", 0, 1e6, 0),
                        number(discovery, "down_for", 0, 1e6, 0),
                        number(discovery, "wrong", 0, 1, 0)));
        check(plan);
        return plan;
    }

    private void check(Scenario plan) {
        if (plan.kinds().isEmpty() && faults.isEmpty()) {
            faults.add(file + ": no kind of destination, allowed: at least one [kind NAME]");
        }
        if (plan.destinations() > 100_000) {
            faults.add(file + ": " + plan.destinations() + " destinations, allowed: 100000");
        }
        if (plan.rate() * plan.seconds() > 100_000_000) {
            faults.add(file + ": about " + (long) (plan.rate() * plan.seconds()) + " messages, allowed: 100000000");
        }
        for (String kind : List.of("trouble", "drain")) {
            for (Section s : all(kind)) {
                asked.get(s).add("kind");
                if (plan.kinds().stream().noneMatch(k -> k.name().equals(s.text("kind", "")))) {
                    faults.add((s.has("kind") ? s.place(s.value("kind"), "kind") : s.place()) + "'" + s.text("kind", "")
                            + "' is no kind, allowed: "
                            + String.join(
                                    ", ",
                                    plan.kinds().stream()
                                            .map(Scenario.Kind::name)
                                            .toList()));
                }
            }
        }
        asked.forEach((s, keys) -> s.values().forEach((key, values) -> {
            if (!keys.contains(key)) {
                faults.add(s.place(values.get(0), key) + "unknown key, allowed: " + String.join(", ", keys));
            } else if (values.size() > 1) {
                faults.add(s.place(values.get(1), key) + "told at line "
                        + values.get(0).line() + " already, allowed: once");
            }
        }));
    }

    private Scenario.Kind kind(Section s) {
        return new Scenario.Kind(
                s.name(),
                whole(s, "destinations", 1, 100_000, 4),
                whole(s, "endpoints", 1, 100, 2),
                number(s, "per_s", 0.001, 1e6, 40),
                word(s, "limit", Scenario.Limit.class, Scenario.Limit.RATE),
                whole(s, "window_ms", 10, 3_600_000, 1_000),
                flag(s, "told", true),
                flag(s, "refused_count", false),
                whole(s, "slots", 0, 100_000, 0),
                whole(s, "queue", 0, 100_000, 50),
                number(s, "service_ms", 0.01, 60_000, 40),
                number(s, "spread", 0, 3, 0.5),
                number(s, "errors", 0, 1, 0.01),
                number(s, "connect_ms", 0, 10_000, 1),
                whole(s, "idle_ms", 0, 3_600_000, 5_000),
                flag(s, "report", false),
                number(s, "report_noise", 0, 10, 0),
                number(s, "cold_share", 0.01, 1, 0.25),
                whole(s, "cold_ms", 0, 3_600_000, 10_000),
                number(s, "fall_multiple", 0.1, 1_000, 2),
                whole(s, "fall_ms", 0, 3_600_000, 2_000),
                number(s, "load", 0, 100, 0.6));
    }

    private Scenario.Trouble trouble(Section s) {
        return new Scenario.Trouble(
                s.name(),
                s.text("kind", ""),
                number(s, "part", 0, 1, 1),
                number(s, "at", 0, 1e6, 0),
                number(s, "for", 0, 1e6, 10),
                word(s, "fault", Scenario.Fault.class, Scenario.Fault.FAIL),
                number(s, "factor", 1, 1e6, 10));
    }

    private Scenario.Clients clients(Section s) {
        double[] mix = {5, 3, 2};
        if (s != null && s.has("mix")) {
            String[] part = s.text("mix", "").strip().split(" +");
            if (part.length == 3
                    && String.join("", part).matches("[0-9.]+")
                    && !String.join("", part).matches("[0.]+")) {
                mix = java.util.Arrays.stream(part)
                        .mapToDouble(Double::parseDouble)
                        .toArray();
            } else {
                faults.add(s.place(s.value("mix"), "mix") + "'" + s.text("mix", "")
                        + "' can't be used, allowed: three numbers, of status updates, job orders and rent payments");
            }
        }
        if (s != null) {
            asked(s, "mix");
        }
        return new Scenario.Clients(
                word(s, "arrivals", Scenario.Arrivals.class, Scenario.Arrivals.POISSON),
                number(s, "scale", 0, 1_000, 1),
                whole(s, "tenants", 1, 100, 4),
                mix,
                whole(s, "clump", 1, 10_000, 20),
                number(s, "burst", 1, 1_000, 4),
                whole(s, "retries", 0, 1_000, 8),
                flag(s, "month_end", false));
    }

    // ---------------------------------------------------------------- values

    private List<Section> all(String kind) {
        List<Section> of = sections.stream().filter(s -> s.kind().equals(kind)).toList();
        of.forEach(s -> asked.computeIfAbsent(s, x -> new ArrayList<>()));
        return of;
    }

    private Section one(String kind) {
        List<Section> of = all(kind);
        if (of.size() > 1) {
            faults.add(of.get(1).place() + "a second " + kind + ", allowed: one");
        }
        return of.isEmpty() ? null : of.get(0);
    }

    private void asked(Section s, String key) {
        asked.computeIfAbsent(s, x -> new ArrayList<>()).add(key);
    }

    private double number(Section s, String key, double least, double most, double absent) {
        if (s == null) {
            return absent;
        }
        asked(s, key);
        String text = s.text(key, "");
        double v = text.matches("\\d{1,12}(\\.\\d{1,9})?") ? Double.parseDouble(text) : -1;
        if (s.has(key) && (v < least || v > most)) {
            faults.add(s.place(s.value(key), key) + "'" + text + "' can't be used, allowed: " + least + " to " + most);
        }
        return s.has(key) ? v : absent;
    }

    private int whole(Section s, String key, int least, int most, int absent) {
        double v = number(s, key, least, most, absent);
        if (v != Math.rint(v)) {
            faults.add(s.place(s.value(key), key) + "'" + s.text(key, "") + "' can't be used, allowed: a whole number");
        }
        return (int) v;
    }

    private boolean flag(Section s, String key, boolean absent) {
        if (s == null) {
            return absent;
        }
        asked(s, key);
        String text = s.text(key, absent ? "on" : "off");
        if (!text.equals("on") && !text.equals("off")) {
            faults.add(s.place(s.value(key), key) + "'" + text + "' can't be used, allowed: on or off");
        }
        return text.equals("on");
    }

    private <E extends Enum<E> & Scenario.WireNamed> E word(Section s, String key, Class<E> of, E absent) {
        if (s == null) {
            return absent;
        }
        asked(s, key);
        String text = s.text(key, absent.wireName());
        for (E e : of.getEnumConstants()) {
            if (e.wireName().equals(text)) {
                return e;
            }
        }
        faults.add(s.place(s.value(key), key) + "'" + text + "' can't be used, allowed: "
                + String.join(
                        ", ",
                        java.util.Arrays.stream(of.getEnumConstants())
                                .map(Scenario.WireNamed::wireName)
                                .toList()));
        return absent;
    }
}
