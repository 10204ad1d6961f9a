package elderseam.cli;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionContent;
import elderseam.fleet.config.VersionStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The subcommands of {@code config} on the versions that a fleet agrees on: through a running member's control
 * address, or offline from a member's state directory.
 */
final class VersionsCommand {
    private VersionsCommand() {}

    /** The options of a command that proposes a version. */
    static final class ProposalOptions {
        private static final String NOTE = "[ -~]{1,120}";

        @Spec(Spec.Target.MIXEE)
        private CommandSpec command;

        @Option(names = "--at", required = true, paramLabel = "ADDRESS:PORT", description = "a member's second address")
        private String at;

        @Option(names = "--note", required = true, description = "why")
        private String note;

        /** The member's control address, unchecked. */
        String at() {
            return at;
        }

        /** The note, which goes into the log of every member and stands at the end of a line. */
        String checkedNote() {
            if (!note.matches(NOTE)) {
                throw CommandBase.usageFault(command, "--note: allowed: 1 to 120 printable characters");
            }
            return note;
        }
    }

    @Command(
            name = "propose",
            description =
                    "Proposes a file's [rules] and [discovery], with the files of rules it names, to the fleet; exits with 1 where it is refused.")
    static final class Propose extends CommandBase {
        @Parameters(index = "0", paramLabel = "FILE", description = "on the member's machine")
        private Path file;

        @Mixin
        private ProposalOptions options;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String hash = ConfigurationVersion.shortHash(VersionContent.read(file)); // a malformed file is not sent
            Path absolute = file.toAbsolutePath().normalize();
            String command = VersionProposal.PROPOSE_PARENT + " " + hash + " " + absolute + " " + options.checkedNote();
            return new VersionProposal(ControlClient.of(this, options.at()), out()).propose(command);
        }
    }

    @Command(
            name = "rollback",
            description = "Proposes an earlier version's content as a new version; 0 is each member's own files.")
    static final class Rollback extends CommandBase {
        @Parameters(index = "0", paramLabel = "VERSION")
        private long version;

        @Mixin
        private ProposalOptions options;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String command = "CONFIG ROLLBACK " + version + " " + options.checkedNote();
            return new VersionProposal(ControlClient.of(this, options.at()), out()).propose(command);
        }
    }

    /** Where versions are looked up: running members, or one member's directory. */
    static final class VersionSource {
        /** The directory of versions below a member's state directory. */
        private static final String VERSIONS_DIRECTORY = "versions";

        @Option(names = "--at", split = ",", paramLabel = "ADDRESS:PORT", description = "members' second addresses")
        private List<String> at;

        @Option(names = "--folder", paramLabel = "DIR", description = "a member's folder that lasts, offline")
        private Path folder;

        boolean isOffline() {
            return folder != null;
        }

        List<String> addresses() {
            return at;
        }

        /**
         * The versions in the directory.
         *
         * @throws IOException if there is no such directory
         */
        VersionStore existingStore() throws IOException {
            if (!Files.isDirectory(versionsDirectory())) {
                throw new IOException(folder + ": no versions are kept there");
            }
            return new VersionStore(versionsDirectory());
        }

        private Path versionsDirectory() {
            return folder.resolve(VERSIONS_DIRECTORY);
        }
    }

    @Command(
            name = "status",
            description =
                    "Which version each member acts on, and how long ago it confirmed that; offline, which are kept.")
    static final class Status extends CommandBase {
        @ArgGroup(multiplicity = "1")
        private VersionSource source;

        @Override
        public Integer call() throws IOException {
            if (source.isOffline()) {
                printStored(source.existingStore());
                return ExitCodes.OK;
            }
            for (String address : source.addresses()) {
                printMember(address, ControlClient.of(this, address).send("CONFIG"));
            }
            return ExitCodes.OK;
        }

        private void printStored(VersionStore store) throws IOException {
            ConfigurationVersion acting = store.loadActive();
            for (ConfigurationVersion version : store.loadAll()) {
                String mark = version.number() == acting.number() ? "* " : "  ";
                out().println(mark + version.number() + " " + version.shortHash() + " from " + version.parent() + " by "
                        + version.author() + ": " + version.note());
            }
            out().println("acted on last: " + acting.number() + " " + acting.shortHash());
        }

        private void printMember(String address, ControlResponse status) {
            out().printf(
                            "%-22s acting %s, doubt %s, confirmed %s ms ago, next %s, latest %s, pending %s, fault %s%n",
                            address,
                            status.value("acting"),
                            status.value("doubt"),
                            status.value("confirmed_ms"),
                            status.value("next"),
                            status.value("latest"),
                            status.value("pending"),
                            status.value("fault"));
        }
    }

    @Command(name = "diff", description = "What changes from one version to another.")
    static final class Diff extends CommandBase {
        @Parameters(index = "0", paramLabel = "A")
        private long fromVersion;

        @Parameters(index = "1", paramLabel = "B")
        private long toVersion;

        @ArgGroup(multiplicity = "1")
        private VersionSource source;

        @Override
        public Integer call() throws IOException {
            changes().forEach(out()::println);
            return ExitCodes.OK;
        }

        private List<String> changes() throws IOException {
            if (source.isOffline()) {
                List<ConfigurationVersion> stored = source.existingStore().loadAll();
                return VersionContent.diff(find(stored, fromVersion), find(stored, toVersion));
            }
            ControlClient member = ControlClient.of(this, source.addresses().get(0));
            return member.send("CONFIG DIFF " + fromVersion + " " + toVersion).lines();
        }

        private static ConfigurationVersion find(List<ConfigurationVersion> stored, long number) throws IOException {
            return ConfigurationVersion.find(stored, number)
                    .orElseThrow(() -> new IOException("version " + number + " is not kept"));
        }
    }
}
