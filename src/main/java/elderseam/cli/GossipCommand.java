package elderseam.cli;

import elderseam.core.Clock;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.MemberState;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.transport.GossipConfiguration;
import elderseam.gossip.transport.GossipTransport;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.testkit.gossip.SimulatedService;
import elderseam.testkit.gossip.SimulationRun;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The fleet: a trial of one in virtual time, and a look at one that runs. */
@Command(
        name = "gossip",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "The fleet of instances.",
        subcommands = {GossipCommand.TrialCommand.class, GossipCommand.Watch.class})
final class GossipCommand extends Commands.Group {
    @Command(
            name = "trial",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "A fleet in virtual time: it joins, runs undisturbed, loses one member and finds out; then, with --service, its "
                            + "dispatchers meet outages, with gossip off and on. One seed gives the same bytes each time.")
    static final class TrialCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--instances", defaultValue = "5", description = "3 to 1000 (${DEFAULT-VALUE})")
        private int instances;

        @Option(
                names = "--loss",
                defaultValue = "0",
                description = "share of datagrams lost, 0 to 0.9 (${DEFAULT-VALUE})")
        private double loss;

        @Option(names = "--no-local-health", description = "without Lifeguard's parts")
        private boolean plain;

        @Option(
                names = "--undisturbed",
                defaultValue = "60",
                paramLabel = "SECONDS",
                description = "of virtual time (${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--service", description = "dispatchers and partners too")
        private boolean service;

        @Option(
                names = "--liars",
                defaultValue = "0",
                description = "instances that say of each partner that it is down; with --service (${DEFAULT-VALUE})")
        private int liars;

        @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "writes one JSON object there; - for standard output, alone")
        private Path json;

        @Override
        public Integer call() throws IOException {
            if (liars < 0 || liars >= instances) {
                throw new ParameterException(
                        spec.commandLine(), "--liars: " + liars + ", allowed: 0 to fewer than --instances");
            }
            try {
                boolean quiet = json != null && json.toString().equals("-");
                say(quiet, "membership of " + instances + " ...");
                SimulationRun trial = SimulationRun.run(instances, loss, !plain, seconds, seed);
                SimulatedService off = null, on = null;
                if (service || liars > 0) {
                    say(quiet, "service without gossip ...");
                    off = SimulatedService.run(instances, loss, liars, false, seed);
                    say(quiet, "service with gossip ...");
                    on = SimulatedService.run(instances, loss, liars, true, seed);
                }
                tell(quiet, trial, off, on);
                return 0;
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
        }

        private void say(boolean quiet, String words) {
            if (!quiet) {
                spec.commandLine().getErr().println(words);
            }
        }

        private void tell(boolean quiet, SimulationRun trial, SimulatedService off, SimulatedService on)
                throws IOException {
            String object = off == null
                    ? trial.json()
                    : "{\"membership\":" + trial.json() + ",\"off\":" + off.json() + ",\"on\":" + on.json() + "}";
            PrintWriter out = spec.commandLine().getOut();
            if (quiet) {
                out.println(object);
                return;
            }
            if (json != null) {
                Files.writeString(json, object + "\n");
            }
            out.println(trial.words().stripTrailing()); // print alone would not flush
            if (off != null) {
                out.println(off.words());
                out.println(on.words());
            }
        }
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Joins a fleet as a member that dispatches nothing, and tells what it has heard. It needs settings, a key and "
                            + "a line of the roster of its own.")
    static final class Watch implements Callable<Integer> {
        private record Seen(List<MembershipUpdate> members, List<HealthReport> claims, String counts) {}

        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "SETTINGS", description = "a file with a [gossip] section")
        private Path file;

        @Option(
                names = "--seconds",
                defaultValue = "5",
                description = "1 to 3600, then it tells and leaves (${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--json", description = "one JSON object for each member and claim")
        private boolean json;

        @Override
        public Integer call() throws Exception {
            Settings s = Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
            if (s.get(SettingKeys.GOSSIP_LISTEN).equals("off")) {
                throw new IOException(file + ": gossip.listen: is off, allowed: ADDRESS:PORT");
            }
            if (seconds < 1 || seconds > 3_600) {
                throw new ParameterException(spec.commandLine(), "--seconds: " + seconds + ", allowed: 1 to 3600");
            }
            GossipConfiguration opening = GossipConfiguration.read(s);
            XnioStartup.configure();
            Clock clock = new Clock();
            IoLoop io = new IoLoop(clock);
            CompletableFuture<Seen> seen = new CompletableFuture<>();
            PrintWriter err = spec.commandLine().getErr();
            io.run(() -> {
                try {
                    GossipTransport post = new GossipTransport(
                            io,
                            opening.transport(),
                            opening.keyring(),
                            GossipTimings.DEFAULTS,
                            new GossipTransport.Callbacks(List::of, (destination, word) -> {}, err::println));
                    io.at(clock.now() + seconds * 1_000L * Clock.MS, () -> {
                        seen.complete(new Seen(post.members(), post.allReports(), post.counts()));
                        post.leave();
                    });
                } catch (IOException | RuntimeException e) {
                    seen.completeExceptionally(e);
                }
            });
            try {
                tell(seen.get());
            } catch (ExecutionException e) {
                throw e.getCause() instanceof Exception cause ? cause : e;
            }
            return 0;
        }

        /** A member's state as {@code gossip watch} prints it. */
        static String word(MemberState standing) {
            return switch (standing) {
                case ALIVE -> "ALIVE";
                case SUSPECT -> "SUSPECT";
                case DEAD -> "DEAD";
                case LEFT -> "LEFT";
            };
        }

        /** A reported breaker state as {@code gossip watch} prints it. */
        static String word(HealthReport.State state) {
            return switch (state) {
                case CLOSED -> "CLOSED";
                case HALF_OPEN -> "HALF_OPEN";
                case OPEN -> "OPEN";
            };
        }

        private void tell(Seen seen) {
            PrintWriter out = spec.commandLine().getOut();
            seen.members.stream()
                    .sorted(Comparator.comparing(MembershipUpdate::member))
                    .forEach(m -> {
                        if (json) {
                            out.printf(
                                    "{\"member\":\"%s\",\"address\":\"%s\",\"standing\":\"%s\",\"incarnation\":%d}%n",
                                    m.member(), m.address(), word(m.state()), m.incarnation());
                        } else {
                            out.printf("%-20s %-24s %s%n", m.member(), m.address(), word(m.state()));
                        }
                    });
            seen.claims.stream()
                    .sorted(Comparator.comparing(HealthReport::reporter).thenComparingLong(HealthReport::destination))
                    .forEach(c -> {
                        if (json) {
                            out.printf(
                                    "{\"reporter\":\"%s\",\"destination\":%d,\"state\":\"%s\",\"calls\":%d,\"failures\":%d,\"wait_ms\":%d}%n",
                                    c.reporter(),
                                    c.destination(),
                                    word(c.state()),
                                    c.calls(),
                                    c.failures(),
                                    c.retryAfterMs());
                        } else {
                            out.printf(
                                    "%-20s destination %-12d %-10s %d of %d calls failed%n",
                                    c.reporter(), c.destination(), word(c.state()), c.failures(), c.calls());
                        }
                    });
            spec.commandLine().getErr().println(seen.counts);
        }
    }
}
