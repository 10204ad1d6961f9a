package elderseam.app;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.RequestAttributes;
import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionActivation;
import elderseam.fleet.config.VersionContent;
import elderseam.fleet.config.VersionStore;
import elderseam.fleet.config.VersionTable;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.http.IoLoop;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

/**
 * Versions that the fleet agrees on, carried out: a thread of its own confirms, checks what is proposed and keeps what is committed;
 * the I/O thread switches at the instant of effect, and while this member is in doubt takes nothing on that the rules may say otherwise
 * of. What decides is {@link VersionActivation}; each message asks it, so a process that was stalled is in doubt the moment it goes on.
 */
final class VersionService {
    /**
     * Reads a version whole: what makes it act, on the I/O thread; an IOException tells what is wrong with it here. {@code texts}: where
     * its texts lie as files, or null for the member's own settings.
     */
    interface Reader {
        Runnable read(Path texts) throws IOException;
    }

    private static final long LOOK_NS = 20 * Clock.MS;

    private final IoLoop io;
    private final Clock clock;
    private final Settings settings;
    private final VersionStore folder;
    private final Reader reader;
    private final FaultTestHistory history; // null but in rehearsals
    private final VersionActivation rule; // under its own lock: the I/O thread asks it, the confirming thread tells it
    private final boolean refuses, sure, atOnce;
    private final long boundMs, leadMs;
    private volatile LeaseGroup group;
    private volatile String fault = ""; // why this member can't act on what is committed
    private volatile String refused = ""; // the last proposal made here that was refused, and why
    private volatile boolean left;
    private boolean doubts = true; // of the I/O thread
    private Thread thread;
    private long looked, kept; // the highest number whose proposal was checked here, and that is in the folder

    VersionService(IoLoop io, Settings s, Path state, Reader reader, FaultTestHistory history) throws IOException {
        this.io = io;
        this.clock = io.clock;
        this.settings = s;
        this.reader = reader;
        this.history = history;
        this.folder = new VersionStore(state.resolve("versions"));
        this.boundMs = s.get(SettingKeys.FLEET_VERSIONS_BOUND_MS);
        this.leadMs = Math.max(boundMs, s.get(SettingKeys.FLEET_VERSIONS_LEAD_MS));
        this.refuses = s.get(SettingKeys.FLEET_VERSIONS_DOUBT).equals("refuse");
        this.sure = s.get(SettingKeys.REHEARSAL_VERSIONS).equals("no-confirm");
        this.atOnce = s.get(SettingKeys.REHEARSAL_VERSIONS).equals("at-commit");
        ConfigurationVersion last = folder.loadActing();
        this.rule = new VersionActivation(
                last, boundMs, new ClockDriftBound(s.get(SettingKeys.FLEET_DRIFT_PERCENT) / 100.0));
        if (last.number() > 0) {
            read(last).run();
        }
        System.err.println("versions: " + words(last) + ", in doubt until it is confirmed");
        tell();
        look();
    }

    static String words(ConfigurationVersion v) {
        return "version " + v.number() + " " + v.shortHash();
    }

    // ---------------------------------------------------------------- on the I/O thread

    /** Whether it may not know of a newer version. */
    boolean inDoubt() {
        synchronized (rule) {
            return !sure && (rule.inDoubt(clock.now()) || !fault.isEmpty());
        }
    }

    /** What it acts on, or acted on last. */
    ConfigurationVersion acting() {
        synchronized (rule) {
            return rule.acting();
        }
    }

    /** Where the texts of what it acts on lie as files. */
    Path texts() throws IOException {
        return folder.writeTexts(acting());
    }

    /**
     * The rules with the doubt before them: new work is refused, with a time to come back, where they may say otherwise by now; what is
     * {@code known} already, by its id, goes to the answer that it has or waits for.
     */
    AdmissionRules guard(AdmissionRules rules, Predicate<String> known) {
        return new Guard(rules, known);
    }

    private final class Guard implements AdmissionRules {
        private final AdmissionRules rules; // null while there are none
        private final Predicate<String> known;

        Guard(AdmissionRules rules, Predicate<String> known) {
            this.rules = rules;
            this.known = known;
        }

        @Override
        public Ruling rule(ActiveRequest.Message message, RequestAttributes facts) {
            if (refuses && acting().number() > 0 && inDoubt() && !known.test(message.id())) {
                return new Rejected(FinalOutcome.rejected(boundMs * Clock.MS));
            }
            boolean told = message.classIndex() >= 0 && message.destination() >= 0;
            if (rules != null) {
                return rules.rule(message, facts);
            }
            return told
                    ? new Admitted(message, List.of())
                    : new Invalid(message, "the message tells no class or destination");
        }
    }

    private void look() {
        if (left) {
            return;
        }
        boolean switches;
        long next;
        synchronized (rule) {
            switches = rule.advance(clock.now());
            next = rule.nextChangeNs();
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

    private Runnable read(ConfigurationVersion v) throws IOException {
        return reader.read(v.texts().isEmpty() ? null : folder.writeTexts(v));
    }

    private void act() {
        ConfigurationVersion v = acting();
        try {
            read(v).run();
            folder.saveActing(v);
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
            until = now + boundMs * Clock.MS - rule.confirmationAgeNs(now).orElse(Long.MAX_VALUE);
        }
        double rate = settings.get(SettingKeys.REHEARSAL_CLOCK_PERCENT) / 100.0;
        long at = System.nanoTime();
        boolean doubted = !sure && (!fault.isEmpty() || inDoubt());
        history.eventAt(at, "acting")
                .with("number", acting().number())
                .with("hash", acting().shortHash())
                .with("until_ns", sure ? Long.MAX_VALUE : doubted ? at : at + (long) ((until - now) / rate))
                .append();
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
            o = group.submit(VersionTable.Command.confirm(settings.get(SettingKeys.FLEET_NAME)))
                    .get();
        } catch (ExecutionException e) {
            return; // no majority, or no link: what it was sure of runs out
        }
        LeaseStateMachine.VersionView here = group.localVersions();
        if (here.latest().number() != kept) {
            folder.retain(here.committed());
            kept = here.latest().number();
        }
        synchronized (rule) {
            ConfigurationVersion known = here.latest();
            rule.onConfirmation(sent, clock.now(), o, atOnce ? known.effectiveAt(0) : known);
        }
        io.run(this::tell);
    }

    /** What is proposed, read whole as if it were to act; nothing of it counts yet. */
    private void check() throws InterruptedException, IOException {
        ConfigurationVersion v = group.localVersions().pending().orElse(null);
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
            group.submit(VersionTable.Command.checked(settings.get(SettingKeys.FLEET_NAME), v.number(), found))
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

    CommandResult told(OperatorCommand.Config c) {
        LeaseGroup g = group;
        if (g == null) {
            return CommandResult.no("the fleet's engine starts yet");
        }
        LeaseStateMachine.VersionView here = g.localVersions();
        return switch (c.verb()) {
            case STATUS -> new CommandResult(true, "config", status(here));
            case DIFF -> diff(here, c.a(), c.b());
            case PROPOSE -> propose(g, c);
            case ROLLBACK -> rollback(g, here, c);
        };
    }

    private CommandResult rollback(LeaseGroup g, LeaseStateMachine.VersionView here, OperatorCommand.Config c) {
        ConfigurationVersion back = find(here, c.a());
        if (back == null) {
            return CommandResult.no("version " + c.a() + " is not kept");
        }
        propose(g, here.latest().number(), "back to " + c.a() + ": " + c.note(), back.texts());
        return asked(back.shortHash());
    }

    private static ConfigurationVersion find(LeaseStateMachine.VersionView here, long number) {
        return number == 0
                ? ConfigurationVersion.NONE
                : here.committed().stream()
                        .filter(v -> v.number() == number)
                        .findFirst()
                        .orElse(null);
    }

    private CommandResult diff(LeaseStateMachine.VersionView here, long a, long b) {
        ConfigurationVersion from = find(here, a), to = find(here, b);
        return from == null || to == null
                ? CommandResult.no("version " + (from == null ? a : b) + " is not kept")
                : new CommandResult(true, "diff", VersionContent.diff(from, to));
    }

    /** Reads the file on a thread of the engine's client, never on the I/O thread; {@code hash}: what the operator's tool read there. */
    private CommandResult propose(LeaseGroup g, OperatorCommand.Config c) {
        CompletableFuture.runAsync(() -> {
            try {
                Map<String, String> texts = VersionContent.read(Path.of(c.path()));
                String read = ConfigurationVersion.shortHash(texts);
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

    private static CommandResult asked(String hash) {
        return CommandResult.yes("asked " + hash + "; CONFIG tells what becomes of it");
    }

    private void propose(LeaseGroup g, long parent, String note, Map<String, String> texts) {
        String hash = ConfigurationVersion.shortHash(texts);
        try {
            g.submit(VersionTable.Command.propose(
                            settings.get(SettingKeys.FLEET_NAME),
                            parent,
                            note,
                            texts,
                            g.memberNames().size(),
                            boundMs,
                            leadMs))
                    .whenComplete((o, e) -> {
                        if (e != null || !o.accepted()) {
                            refuse(hash, e != null ? "not decided: " + e.getMessage() : o.refusal());
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

    private String confirmedMs(long now) {
        OptionalLong age = rule.confirmationAgeNs(now);
        return age.isEmpty() ? "never" : Long.toString(age.getAsLong() / Clock.MS);
    }

    private List<String> status(LeaseStateMachine.VersionView here) {
        long now = clock.now();
        List<String> lines = new ArrayList<>();
        synchronized (rule) {
            lines.add("acting=" + rule.acting().number() + " " + rule.acting().shortHash());
            lines.add("doubt=" + (inDoubt() ? "yes" : "no"));
            lines.add("confirmed_ms=" + confirmedMs(now));
            lines.add("next="
                    + rule.scheduled().map(v -> Long.toString(v.number())).orElse("none"));
        }
        lines.add("latest=" + here.latest().number() + " " + here.latest().shortHash());
        lines.add("pending="
                + here.pending().map(v -> v.number() + " " + v.shortHash()).orElse("none"));
        lines.add("ended=" + here.lastDecision().number() + " "
                + (here.lastDecision().hash().isEmpty()
                        ? "none"
                        : ConfigurationVersion.shorten(here.lastDecision().hash()))
                + " "
                + here.lastDecision().refusal());
        lines.add("refused=" + (refused.isEmpty() ? "none" : refused));
        lines.add("fault=" + (fault.isEmpty() ? "none" : fault));
        for (ConfigurationVersion v : here.committed()) {
            lines.add("version=" + v.number() + " " + v.shortHash() + " from " + v.parent() + " by " + v.author() + ": "
                    + v.note());
        }
        lines.add("EOF");
        return lines;
    }
}
