package elderseam.wiring;

import elderseam.control.Command;
import elderseam.control.Verdict;
import elderseam.core.Answer;
import elderseam.core.Clock;
import elderseam.core.Facts;
import elderseam.core.Rulings;
import elderseam.core.Stream;
import elderseam.fleet.History;
import elderseam.fleet.config.Version;
import elderseam.fleet.config.VersionContent;
import elderseam.fleet.config.VersionFolder;
import elderseam.fleet.config.VersionRule;
import elderseam.fleet.config.VersionTable;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseMachine;
import elderseam.http.Io;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

/**
 * Versions that the fleet agrees on, carried out: a thread of its own confirms, checks what is proposed and keeps what is committed;
 * the I/O thread switches at the instant of effect, and while this member is in doubt takes nothing on that the rules may say otherwise
 * of. What decides is {@link VersionRule}; each message asks it, so a process that was stalled is in doubt the moment it goes on.
 */
final class VersionsWiring {
    /**
     * Reads a version whole: what makes it act, on the I/O thread; an IOException tells what is wrong with it here. {@code texts}: where
     * its texts lie as files, or null for the member's own settings.
     */
    interface Reader {
        Runnable read(Path texts) throws IOException;
    }

    private static final long LOOK_NS = 20 * Clock.MS;

    private final Io io;
    private final Clock clock;
    private final Settings settings;
    private final VersionFolder folder;
    private final Reader reader;
    private final History history; // null but in rehearsals
    private final VersionRule rule; // under its own lock: the I/O thread asks it, the confirming thread tells it
    private final boolean refuses, sure, atOnce;
    private final long boundMs, leadMs;
    private volatile LeaseGroup group;
    private volatile String fault = ""; // why this member can't act on what is committed
    private volatile String refused = ""; // the last proposal made here that was refused, and why
    private volatile boolean left;
    private boolean doubts = true; // of the I/O thread
    private Thread thread;
    private long looked, kept; // the highest number whose proposal was checked here, and that is in the folder

    VersionsWiring(Io io, Settings s, Path state, Reader reader, History history) throws IOException {
        this.io = io;
        this.clock = io.clock;
        this.settings = s;
        this.reader = reader;
        this.history = history;
        this.folder = new VersionFolder(state.resolve("versions"));
        this.boundMs = s.get(Keys.FLEET_VERSIONS_BOUND_MS);
        this.leadMs = Math.max(boundMs, s.get(Keys.FLEET_VERSIONS_LEAD_MS));
        this.refuses = s.get(Keys.FLEET_VERSIONS_DOUBT).equals("refuse");
        this.sure = s.get(Keys.REHEARSAL_VERSIONS).equals("no-confirm");
        this.atOnce = s.get(Keys.REHEARSAL_VERSIONS).equals("at-commit");
        Version last = folder.acting();
        this.rule = new VersionRule(last, boundMs, s.get(Keys.FLEET_DRIFT_PERCENT) / 100.0);
        if (last.number() > 0) {
            read(last).run();
        }
        System.err.println("versions: " + words(last) + ", in doubt until it is confirmed");
        tell();
        look();
    }

    static String words(Version v) {
        return "version " + v.number() + " " + v.hash().substring(0, 12);
    }

    // ---------------------------------------------------------------- on the I/O thread

    /** Whether it may not know of a newer version. */
    boolean inDoubt() {
        synchronized (rule) {
            return !sure && (rule.inDoubt(clock.now()) || !fault.isEmpty());
        }
    }

    /** What it acts on, or acted on last. */
    Version acting() {
        synchronized (rule) {
            return rule.acting();
        }
    }

    /** Where the texts of what it acts on lie as files. */
    Path texts() throws IOException {
        return folder.texts(acting());
    }

    /**
     * The rules with the doubt before them: new work is refused, with a time to come back, where they may say otherwise by now; what is
     * {@code known} already, by its id, goes to the answer that it has or waits for.
     */
    Rulings guard(Rulings rules, Predicate<String> known) {
        return new Guard(rules, known);
    }

    private final class Guard implements Rulings {
        private final Rulings rules; // null while there are none
        private final Predicate<String> known;

        Guard(Rulings rules, Predicate<String> known) {
            this.rules = rules;
            this.known = known;
        }

        @Override
        public Ruled rule(Stream.Message message, Facts facts) {
            if (refuses && acting().number() > 0 && inDoubt() && !known.test(message.id())) {
                return new Ruled(message, List.of(), Answer.refused(boundMs * Clock.MS), "");
            }
            boolean told = message.cls() >= 0 && message.destination() >= 0;
            return rules != null
                    ? rules.rule(message, facts)
                    : new Ruled(message, List.of(), null, told ? "" : "the message tells no class or destination");
        }
    }

    private void look() {
        if (left) {
            return;
        }
        boolean switches;
        long next;
        synchronized (rule) {
            switches = rule.tick(clock.now());
            next = rule.nextAt();
        }
        if (switches) {
            act();
        }
        boolean now = inDoubt();
        if (now != doubts) {
            doubts = now;
            System.err.println("versions: "
                    + (now
                            ? "in doubt, " + (refuses ? "new work is refused" : "the last one is acted on")
                            : "sure of " + words(acting()))
                    + (fault.isEmpty() ? "" : ": " + fault));
        }
        io.at(Math.min(clock.now() + LOOK_NS, Math.max(next, clock.now() + Clock.MS)), this::look);
    }

    private Runnable read(Version v) throws IOException {
        return reader.read(v.texts().isEmpty() ? null : folder.texts(v));
    }

    private void act() {
        Version v = acting();
        try {
            read(v).run();
            folder.acting(v);
            fault = "";
            System.err.println("versions: acts on " + words(v) + " by " + v.author() + ": " + v.note());
        } catch (IOException e) { // it passed here, or this one was away; what it says now counts
            fault = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            System.err.println("versions: can't act on " + words(v) + ": " + e.getMessage());
        }
        tell();
    }

    /** In a rehearsal's history: what is acted on, and until when at most without another word. */
    private void tell() {
        if (history == null) {
            return;
        }
        long now = clock.now(), until;
        synchronized (rule) {
            until = now + boundMs * Clock.MS - rule.ageNs(now);
        }
        double rate = settings.get(Keys.REHEARSAL_CLOCK_PERCENT) / 100.0;
        long at = System.nanoTime();
        boolean doubted = !sure && (!fault.isEmpty() || inDoubt());
        history.at(
                at,
                "acting",
                "number",
                acting().number(),
                "hash",
                acting().hash().substring(0, 12),
                "until_ns",
                sure ? Long.MAX_VALUE : doubted ? at : at + (long) ((until - now) / rate));
    }

    // ---------------------------------------------------------------- on a thread of its own

    /** The group is there: from now on it confirms. */
    void joins(LeaseGroup group) {
        this.group = group;
        thread = new Thread(this::run, "versions");
        thread.setDaemon(true);
        thread.start();
    }

    /** Something was proposed, committed or refused. Any thread may say so. */
    void news() {
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!left) {
            try {
                check();
                confirm();
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RuntimeException e) {
                System.err.println("versions: " + e);
            }
            LockSupport.parkNanos(boundMs * Clock.MS / 4); // one answer may be lost, and one late
        }
    }

    private void confirm() throws InterruptedException, IOException {
        long sent = clock.now();
        VersionTable.Outcome o;
        try {
            o = group.versions(VersionTable.Command.confirm(settings.get(Keys.FLEET_NAME)))
                    .get();
        } catch (ExecutionException e) {
            return; // no majority, or no link: what it was sure of runs out
        }
        LeaseMachine.Versions here = group.versions();
        if (here.latest().number() != kept) {
            folder.keep(here.all());
            kept = here.latest().number();
        }
        synchronized (rule) {
            Version known = here.latest();
            rule.confirmed(
                    sent,
                    clock.now(),
                    o,
                    atOnce
                            ? new Version(
                                    known.number(),
                                    known.parent(),
                                    known.author(),
                                    known.note(),
                                    known.texts(),
                                    known.hash(),
                                    0)
                            : known);
        }
        io.run(this::tell);
    }

    /** What is proposed, read whole as if it were to act; nothing of it counts yet. */
    private void check() throws InterruptedException, IOException {
        Version v = group.versions().pending();
        if (v == null || v.number() <= looked) {
            return;
        }
        String found = "";
        try {
            read(v);
        } catch (IOException e) {
            found = String.valueOf(e.getMessage()).lines().findFirst().orElse(e.toString());
        }
        try {
            group.versions(VersionTable.Command.checked(settings.get(Keys.FLEET_NAME), v.number(), found))
                    .get();
            looked = v.number();
        } catch (ExecutionException e) {
            // said again at the next look
        }
    }

    void leave() {
        left = true;
        news();
    }

    // ---------------------------------------------------------------- what operators ask

    Verdict told(Command.Config c) {
        LeaseGroup g = group;
        if (g == null) {
            return Verdict.no("the fleet's engine starts yet");
        }
        LeaseMachine.Versions here = g.versions();
        return switch (c.verb()) {
            case STATUS -> new Verdict(true, "config", status(here));
            case DIFF -> diff(here, c.a(), c.b());
            case PROPOSE -> propose(g, c);
            case ROLLBACK -> rollback(g, here, c);
        };
    }

    private Verdict rollback(LeaseGroup g, LeaseMachine.Versions here, Command.Config c) {
        Version back = find(here, c.a());
        if (back == null) {
            return Verdict.no("version " + c.a() + " is not kept");
        }
        propose(g, here.latest().number(), "back to " + c.a() + ": " + c.note(), back.texts());
        return asked(back.hash().substring(0, 12));
    }

    private static Version find(LeaseMachine.Versions here, long number) {
        return number == 0
                ? Version.NONE
                : here.all().stream()
                        .filter(v -> v.number() == number)
                        .findFirst()
                        .orElse(null);
    }

    private Verdict diff(LeaseMachine.Versions here, long a, long b) {
        Version from = find(here, a), to = find(here, b);
        return from == null || to == null
                ? Verdict.no("version " + (from == null ? a : b) + " is not kept")
                : new Verdict(true, "diff", VersionContent.diff(from, to));
    }

    /** Reads the file on a thread of the engine's client, never on the I/O thread; {@code hash}: what the operator's tool read there. */
    private Verdict propose(LeaseGroup g, Command.Config c) {
        CompletableFuture.runAsync(() -> {
            try {
                Map<String, String> texts = VersionContent.read(Path.of(c.path()));
                String read = Version.hash(texts).substring(0, 12);
                if (read.equals(c.hash())) {
                    propose(g, c.a(), c.note(), texts);
                } else {
                    refuse(c.hash(), c.path() + " holds " + read + " by now");
                }
            } catch (IOException e) {
                refuse(
                        c.hash(),
                        String.valueOf(e.getMessage()).lines().findFirst().orElse("it can't be read"));
            }
        });
        return asked(c.hash());
    }

    private static Verdict asked(String hash) {
        return Verdict.yes("asked " + hash + "; CONFIG tells what becomes of it");
    }

    private void propose(LeaseGroup g, long parent, String note, Map<String, String> texts) {
        String hash = Version.hash(texts).substring(0, 12);
        try {
            g.versions(VersionTable.Command.propose(
                            settings.get(Keys.FLEET_NAME),
                            parent,
                            note,
                            texts,
                            g.members().size(),
                            boundMs,
                            leadMs))
                    .whenComplete((o, e) -> {
                        if (e != null || !o.word().isEmpty()) {
                            refuse(hash, e != null ? "not decided: " + e.getMessage() : o.word());
                        } else {
                            refused = "";
                            System.err.println("versions: proposal " + hash + " is looked at");
                        }
                    });
        } catch (IllegalArgumentException | IOException e) {
            refuse(hash, e.getMessage());
        }
    }

    private void refuse(String hash, String why) {
        refused = hash + " " + why;
        System.err.println("versions: proposal " + hash + " refused: " + why);
    }

    private List<String> status(LeaseMachine.Versions here) {
        long now = clock.now();
        List<String> lines = new ArrayList<>();
        synchronized (rule) {
            lines.add("acting=" + rule.acting().number() + " "
                    + rule.acting().hash().substring(0, 12));
            lines.add("doubt=" + (inDoubt() ? "yes" : "no"));
            lines.add("confirmed_ms=" + (rule.ageNs(now) == Long.MAX_VALUE ? "never" : rule.ageNs(now) / Clock.MS));
            lines.add("next=" + (rule.next() == null ? "none" : rule.next().number()));
        }
        lines.add(
                "latest=" + here.latest().number() + " " + here.latest().hash().substring(0, 12));
        lines.add("pending="
                + (here.pending() == null
                        ? "none"
                        : here.pending().number() + " " + here.pending().hash().substring(0, 12)));
        lines.add("ended=" + here.ended().number() + " "
                + (here.ended().hash().isEmpty() ? "none" : here.ended().hash().substring(0, 12)) + " "
                + here.ended().word());
        lines.add("refused=" + (refused.isEmpty() ? "none" : refused));
        lines.add("fault=" + (fault.isEmpty() ? "none" : fault));
        for (Version v : here.all()) {
            lines.add("version=" + v.number() + " " + v.hash().substring(0, 12) + " from " + v.parent() + " by "
                    + v.author() + ": " + v.note());
        }
        lines.add("EOF");
        return lines;
    }
}
