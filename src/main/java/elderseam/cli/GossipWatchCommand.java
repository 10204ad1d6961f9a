package elderseam.cli;

import elderseam.core.Clock;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.MemberState;
import elderseam.gossip.MembershipUpdate;
import elderseam.gossip.transport.GossipConfiguration;
import elderseam.gossip.transport.GossipTransport;
import elderseam.gossip.transport.PrintingGossipListener;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code gossip watch}: joins a running fleet for a while, and prints what it heard. */
@Command(
        name = "watch",
        description =
                "Joins a fleet as a member that dispatches nothing, and tells what it has heard. It needs settings, a key and "
                        + "a line of the roster of its own.")
final class GossipWatchCommand extends CommandBase {
    private static final int MAX_SECONDS = 3_600;
    private static final long NS_PER_S = 1_000L * Clock.MILLISECOND_NS;

    /** What the member has heard by the end. */
    private record Observation(List<MembershipUpdate> members, List<HealthReport> reports, String counts) {}

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
        Settings settings = Settings.read(file);
        if (settings.get(SettingKeys.GOSSIP_LISTEN).equals("off")) {
            throw new IOException(file + ": gossip.listen: is off, allowed: ADDRESS:PORT");
        }
        requireRange("--seconds", seconds, 1, MAX_SECONDS);
        print(observe(GossipConfiguration.read(settings)));
        return ExitCodes.OK;
    }

    /** Joins the fleet, and leaves it after {@link #seconds}. Throws what the start of the transport threw. */
    private Observation observe(GossipConfiguration configuration) throws Exception {
        XnioStartup.configure();
        Clock clock = new Clock();
        IoLoop io = new IoLoop(clock);
        CompletableFuture<Observation> observation = new CompletableFuture<>();
        io.run(() -> {
            try {
                GossipTransport transport = new GossipTransport(
                        io,
                        configuration.transport(),
                        configuration.keyring(),
                        GossipTimings.DEFAULTS,
                        new GossipTransport.Callbacks(
                                List::of, (destination, advice) -> {}, new PrintingGossipListener(err()::println)));
                io.at(clock.now() + seconds * NS_PER_S, () -> {
                    observation.complete(
                            new Observation(transport.members(), transport.allReports(), transport.counts()));
                    transport.leave();
                });
            } catch (IOException | RuntimeException e) { // thrown again by the command's own thread
                observation.completeExceptionally(e);
            }
        });
        try {
            return observation.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        }
    }

    private void print(Observation observation) {
        observation.members.stream()
                .sorted(Comparator.comparing(MembershipUpdate::member))
                .forEach(this::printMember);
        observation.reports.stream()
                .sorted(Comparator.comparing(HealthReport::reporter).thenComparingLong(HealthReport::destination))
                .forEach(this::printReport);
        err().println(observation.counts);
    }

    private void printMember(MembershipUpdate member) {
        String state = wireName(member.state());
        if (json) {
            out().printf(
                            "{\"member\":\"%s\",\"address\":\"%s\",\"standing\":\"%s\",\"incarnation\":%d}%n",
                            member.member(), member.address(), state, member.incarnation());
        } else {
            out().printf("%-20s %-24s %s%n", member.member(), member.address(), state);
        }
    }

    private void printReport(HealthReport report) {
        String state = wireName(report.state());
        if (json) {
            out().printf(
                            "{\"reporter\":\"%s\",\"destination\":%d,\"state\":\"%s\",\"calls\":%d,\"failures\":%d,\"wait_ms\":%d}%n",
                            report.reporter(),
                            report.destination(),
                            state,
                            report.calls(),
                            report.failures(),
                            report.retryAfterMs());
        } else {
            out().printf(
                            "%-20s destination %-12d %-10s %d of %d calls failed%n",
                            report.reporter(), report.destination(), state, report.failures(), report.calls());
        }
    }

    /** A member's state as it is printed, also as {@code standing} in JSON. */
    static String wireName(MemberState state) {
        return switch (state) {
            case ALIVE -> "ALIVE";
            case SUSPECT -> "SUSPECT";
            case DEAD -> "DEAD";
            case LEFT -> "LEFT";
        };
    }

    /** A reported breaker's state as it is printed, also as {@code state} in JSON. */
    static String wireName(HealthReport.State state) {
        return switch (state) {
            case CLOSED -> "CLOSED";
            case HALF_OPEN -> "HALF_OPEN";
            case OPEN -> "OPEN";
        };
    }
}
