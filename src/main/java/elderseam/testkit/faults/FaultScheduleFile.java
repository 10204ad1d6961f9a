package elderseam.testkit.faults;

import elderseam.settings.SectionFile;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads a scenario of fault tests: a file of {@code [fleet NAME]} and {@code [fault NAME]} sections. Used once. */
final class FaultScheduleFile {
    private static final String FLEET = "fleet";
    private static final String FAULT = "fault";
    private static final List<String> FLEET_KEYS =
            List.of("members", "ttl_ms", "drift_percent", "election_ms", "round_ms", "clocks");
    private static final List<String> FAULT_KEYS = List.of("at_ms", "do");
    private static final int MAX_TIME_MS = 60_000;
    private static final String CLOCK = "n\\d{1,3}=\\d{2,3}";
    private static final int MIN_CLOCK_PERCENT = 50;
    private static final int MAX_CLOCK_PERCENT = 150;

    private final Path file;
    private final List<String> wrong = new ArrayList<>();
    private final List<FaultInjection> faults = new ArrayList<>();
    private FaultSchedule schedule = FaultSchedule.leases(); // the defaults, until a section says otherwise

    FaultScheduleFile(Path file) {
        this.file = file;
    }

    /**
     * Reads the file.
     *
     * @throws SettingsFault with all that is wrong with it
     */
    FaultSchedule read() throws IOException {
        List<String> lines = Files.readAllLines(file);
        for (SectionFile.Section section : SectionFile.read(file.toString(), lines, List.of(FLEET, FAULT), wrong)) {
            readSection(section);
        }
        if (faults.isEmpty()) {
            wrong.add(file + ": no [fault NAME], allowed: at least one with at_ms and do");
        }
        if (!wrong.isEmpty()) {
            throw new SettingsFault(wrong);
        }
        faults.sort(Comparator.comparingLong(FaultInjection::atMs));
        return schedule.withFaults(faults);
    }

    private void readSection(SectionFile.Section section) {
        boolean isFleet = section.kind().equals(FLEET);
        checkKeys(section, isFleet ? FLEET_KEYS : FAULT_KEYS);
        if (isFleet) {
            readFleet(section);
        } else if (section.kind().equals(FAULT)) {
            readFault(section);
        }
    }

    private void checkKeys(SectionFile.Section section, List<String> allowed) {
        section.values().forEach((key, values) -> {
            if (!allowed.contains(key)) {
                wrong.add(section.place(values.get(0), key) + "unknown key, allowed: " + String.join(", ", allowed));
            }
        });
    }

    private void readFleet(SectionFile.Section section) {
        schedule = new FaultSchedule(
                (int) number(section, "members", 2, FaultSchedule.MAX_MEMBERS, schedule.members()),
                number(section, "ttl_ms", 200, MAX_TIME_MS, schedule.ttlMs()),
                (int) number(section, "drift_percent", 0, 40, schedule.driftPercent()),
                number(section, "election_ms", 50, 10_000, schedule.electionMs()),
                number(section, "round_ms", 100, MAX_TIME_MS, schedule.roundMs()),
                clocks(section),
                List.of());
    }

    private void readFault(SectionFile.Section section) {
        try {
            long atMs = number(section, "at_ms", 0, MAX_TIME_MS, 0);
            faults.add(FaultInjection.parse(atMs, section.text("do", "")));
        } catch (IllegalArgumentException e) {
            wrong.add(section.place() + e.getMessage());
        }
    }

    private long number(SectionFile.Section section, String key, long min, long max, long absent) {
        SectionFile.Value value = section.value(key);
        if (value == null) {
            return absent;
        }
        String text = value.text();
        if (!text.matches("\\d{1,9}") || Long.parseLong(text) < min || Long.parseLong(text) > max) {
            wrong.add(section.place(value, key) + "'" + text + "' can't be used, allowed: " + min + " to " + max);
            return absent;
        }
        return Long.parseLong(text);
    }

    private Map<String, Integer> clocks(SectionFile.Section section) {
        Map<String, Integer> clocks = new LinkedHashMap<>();
        for (String word : section.text("clocks", "").split("\\s+")) {
            if (word.isEmpty()) {
                continue;
            }
            int equals = word.indexOf('=');
            if (isClock(word)) {
                clocks.put(word.substring(0, equals), Integer.parseInt(word.substring(equals + 1)));
            } else {
                wrong.add(section.place(section.value("clocks"), "clocks") + "'" + word
                        + "' can't be used, allowed: nK=PERCENT, 50 to 150");
            }
        }
        return clocks;
    }

    private static boolean isClock(String word) {
        if (!word.matches(CLOCK)) {
            return false;
        }
        int percent = Integer.parseInt(word.substring(word.indexOf('=') + 1));
        return percent >= MIN_CLOCK_PERCENT && percent <= MAX_CLOCK_PERCENT;
    }
}
