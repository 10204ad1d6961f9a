package elderseam.cli;

import elderseam.testkit.gossip.SimulatedService;
import elderseam.testkit.gossip.SimulationRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gossip trial}: a simulation of a fleet's membership, and of what gossip does for its requests. */
@Command(
        name = "trial",
        description =
                "A fleet in virtual time: it joins, runs undisturbed, loses one member and finds out; then, with --service, its "
                        + "dispatchers meet outages, with gossip off and on. One seed gives the same bytes each time.")
final class GossipTrialCommand extends CommandBase {
    private static final String STANDARD_OUTPUT = "-";

    /** The same fleet and outages, without and with gossip. */
    private record ServiceRuns(SimulatedService off, SimulatedService on) {}

    @Option(names = "--instances", defaultValue = "5", description = "3 to 1000 (${DEFAULT-VALUE})")
    private int instances;

    @Option(names = "--loss", defaultValue = "0", description = "share of datagrams lost, 0 to 0.9 (${DEFAULT-VALUE})")
    private double loss;

    @Option(names = "--no-local-health", description = "without Lifeguard's parts")
    private boolean withoutLocalHealth;

    @Option(
            names = "--undisturbed",
            defaultValue = "60",
            paramLabel = "SECONDS",
            description = "of virtual time (${DEFAULT-VALUE})")
    private int undisturbedSeconds;

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
            throw usageFault("--liars: " + liars + ", allowed: 0 to fewer than --instances");
        }
        try {
            showProgress("membership of " + instances + " ...");
            SimulationRun membership =
                    SimulationRun.run(instances, loss, !withoutLocalHealth, undisturbedSeconds, seed);
            ServiceRuns serviceRuns = service || liars > 0 ? runService() : null;
            print(membership, serviceRuns);
            return ExitCodes.OK;
        } catch (IllegalArgumentException e) { // the simulation's own limits on its arguments
            throw usageFault(e.getMessage());
        }
    }

    private ServiceRuns runService() {
        showProgress("service without gossip ...");
        SimulatedService off = SimulatedService.run(instances, loss, liars, false, seed);
        showProgress("service with gossip ...");
        SimulatedService on = SimulatedService.run(instances, loss, liars, true, seed);
        return new ServiceRuns(off, on);
    }

    private boolean isJsonAlone() {
        return json != null && json.toString().equals(STANDARD_OUTPUT);
    }

    private void showProgress(String text) {
        if (!isJsonAlone()) {
            err().println(text);
        }
    }

    /** {@code serviceRuns} is null where the service was not simulated. */
    private void print(SimulationRun membership, ServiceRuns serviceRuns) throws IOException {
        String object = jsonObject(membership, serviceRuns);
        if (isJsonAlone()) {
            out().println(object);
            return;
        }
        if (json != null) {
            Files.writeString(json, object + "\n");
        }
        out().println(membership.words().stripTrailing()); // print alone would not flush
        if (serviceRuns != null) {
            out().println(serviceRuns.off.words());
            out().println(serviceRuns.on.words());
        }
    }

    private static String jsonObject(SimulationRun membership, ServiceRuns serviceRuns) {
        if (serviceRuns == null) {
            return membership.json();
        }
        return "{\"membership\":" + membership.json() + ",\"off\":" + serviceRuns.off.json() + ",\"on\":"
                + serviceRuns.on.json() + "}";
    }
}
