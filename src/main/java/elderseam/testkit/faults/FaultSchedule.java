package elderseam.testkit.faults;

import elderseam.settings.SectionFile;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a fleet test is about: its members, the terms of their leases, and the faults of its one kind of round, or none where
 * a nemesis draws them.
 *
 * @param clocks percent of true time that a member's clock shows, where it is not 100
 */
record FaultSchedule(
        int members,
        long ttlMs,
        int driftPercent,
        long electionMs,
        long roundMs,
        Map<String, Integer> clocks,
        List<FaultInjection> faults) {
    static final int MOST = 16;

    /** Leases under a nemesis, with one clock 5% fast. */
    static FaultSchedule leases() {
        return new FaultSchedule(3, 1_200, 5, 150, 2_000, Map.of("n1", 105), List.of());
    }

    /** Versions under a nemesis; a round outlasts a commit that waits for who is cut off, its lead, and the bound. */
    static FaultSchedule versions(int members) {
        return new FaultSchedule(members, 1_200, 5, 150, 4_000, Map.of("n1", 105), List.of());
    }

    /** The same with so many members. */
    FaultSchedule of(int members) {
        return new FaultSchedule(members, ttlMs, driftPercent, electionMs, roundMs, clocks, faults);
    }

    /** The same with rounds of another length. */
    FaultSchedule lasting(long ms) {
        return new FaultSchedule(members, ttlMs, driftPercent, electionMs, ms, clocks, faults);
    }

    /** A lease on gossip alone, and a cut for longer than its suspicions last (4 s at three members). */
    static FaultSchedule gossip() {
        return new FaultSchedule(3, 1_200, 5, 150, 12_000, Map.of(), List.of(FaultInjection.parse(500, "isolate n1")));
    }

    /** A file of {@code [fleet NAME]} and {@code [fault NAME]}; every fault of it is told at once. */
    static FaultSchedule read(Path file) throws IOException {
        List<String> wrong = new ArrayList<>();
        List<SectionFile.Section> all =
                SectionFile.read(file.toString(), Files.readAllLines(file), List.of("fleet", "fault"), wrong);
        FaultSchedule plan = leases();
        List<FaultInjection> faults = new ArrayList<>();
        for (SectionFile.Section s : all) {
            SectionFile.Section known = s;
            List<String> keys = s.kind().equals("fleet")
                    ? List.of("members", "ttl_ms", "drift_percent", "election_ms", "round_ms", "clocks")
                    : List.of("at_ms", "do");
            s.values().forEach((key, values) -> {
                if (!keys.contains(key)) {
                    wrong.add(known.place(values.get(0), key) + "unknown key, allowed: " + String.join(", ", keys));
                }
            });
            if (s.kind().equals("fleet")) {
                plan = new FaultSchedule(
                        (int) number(s, "members", 2, MOST, plan.members, wrong),
                        number(s, "ttl_ms", 200, 60_000, plan.ttlMs, wrong),
                        (int) number(s, "drift_percent", 0, 40, plan.driftPercent, wrong),
                        number(s, "election_ms", 50, 10_000, plan.electionMs, wrong),
                        number(s, "round_ms", 100, 60_000, plan.roundMs, wrong),
                        clocks(s, wrong),
                        List.of());
            } else if (s.kind().equals("fault")) {
                try {
                    faults.add(FaultInjection.parse(number(s, "at_ms", 0, 60_000, 0, wrong), s.text("do", "")));
                } catch (IllegalArgumentException e) {
                    wrong.add(s.place() + e.getMessage());
                }
            }
        }
        if (faults.isEmpty()) {
            wrong.add(file + ": no [fault NAME], allowed: at least one with at_ms and do");
        }
        if (!wrong.isEmpty()) {
            throw new SettingsFault(wrong);
        }
        faults.sort(Comparator.comparingLong(FaultInjection::atMs));
        return plan.with(faults);
    }

    private FaultSchedule with(List<FaultInjection> faults) {
        return new FaultSchedule(members, ttlMs, driftPercent, electionMs, roundMs, clocks, List.copyOf(faults));
    }

    /** The same without a margin for clocks, which run 10% apart from true time both ways: the planted fault of the lease's checker. */
    FaultSchedule withoutMargin() {
        Map<String, Integer> bent = new LinkedHashMap<>();
        for (int i = 1; i <= members; i++) {
            bent.put("n" + i, i == 1 ? 80 : 120);
        }
        return new FaultSchedule(members, ttlMs, 0, electionMs, roundMs, bent, faults);
    }

    private static long number(
            SectionFile.Section s, String key, long least, long most, long absent, List<String> wrong) {
        SectionFile.Value v = s.value(key);
        if (v == null) {
            return absent;
        }
        if (!v.text().matches("\\d{1,9}") || Long.parseLong(v.text()) < least || Long.parseLong(v.text()) > most) {
            wrong.add(s.place(v, key) + "'" + v.text() + "' can't be used, allowed: " + least + " to " + most);
            return absent;
        }
        return Long.parseLong(v.text());
    }

    private static Map<String, Integer> clocks(SectionFile.Section s, List<String> wrong) {
        Map<String, Integer> clocks = new LinkedHashMap<>();
        for (String word : Arrays.stream(s.text("clocks", "").split("\\s+"))
                .filter(w -> !w.isEmpty())
                .toList()) {
            if (!word.matches("n\\d{1,3}=\\d{2,3}")
                    || Integer.parseInt(word.substring(word.indexOf('=') + 1)) < 50
                    || Integer.parseInt(word.substring(word.indexOf('=') + 1)) > 150) {
                wrong.add(s.place(s.value("clocks"), "clocks") + "'" + word
                        + "' can't be used, allowed: nK=PERCENT, 50 to 150");
            } else {
                clocks.put(
                        word.substring(0, word.indexOf('=')), Integer.parseInt(word.substring(word.indexOf('=') + 1)));
            }
        }
        return clocks;
    }
}
