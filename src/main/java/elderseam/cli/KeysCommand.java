package elderseam.cli;

import elderseam.acme.SecretSealer;
import elderseam.gossip.MemberNames;
import elderseam.gossip.security.AddressRanges;
import elderseam.gossip.security.KeyFile;
import elderseam.gossip.security.Roster;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Keys of instances, and the roster that names them. */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Keys of instances, and the roster that names them.",
        subcommands = {KeysCommand.New.class, KeysCommand.SealKey.class, KeysCommand.ListAll.class})
final class KeysCommand extends Commands.Group {
    @Command(
            name = "new",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "Makes a key in a file that only its owner may read, and tells the line for every roster.")
    static final class New implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FILE", description = "the key file; it must not be there yet")
        private Path file;

        @Option(names = "--name", required = true, description = "the instance's name")
        private String name;

        @Option(
                names = "--from",
                required = true,
                paramLabel = "CIDR[,CIDR...]",
                description = "the addresses that it may speak from")
        private String ranges;

        @Override
        public Integer call() throws IOException {
            if (!MemberNames.isValid(name)) {
                throw new ParameterException(
                        spec.commandLine(), "--name: '" + name + "' is no name, allowed: 1 to 64 of A-Z a-z 0-9 . _ -");
            }
            Optional<String> fault = AddressRanges.findFault(ranges);
            if (fault.isPresent()) {
                throw new ParameterException(spec.commandLine(), "--from: " + fault.get());
            }
            try {
                KeyFile key = KeyFile.create(file);
                spec.commandLine().getOut().println(name + " " + ranges + " " + key.publicKeyText());
                return 0;
            } catch (FileAlreadyExistsException e) {
                throw new IOException(file + ": there already, a key is not written over");
            }
        }
    }

    @Command(
            name = "seal",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "Makes a key by which the members of a fleet seal what they pass on; the same file goes to each of them.")
    static final class SealKey implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FILE", description = "the key file; it must not be there yet")
        private Path file;

        @Override
        public Integer call() throws IOException {
            try {
                SecretSealer.make(file, new SecureRandom());
                return 0;
            } catch (FileAlreadyExistsException e) {
                throw new IOException(file + ": there already, a key is not written over");
            }
        }
    }

    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description =
                    "What a roster says; tells every fault of it, a line each, and exits with 1 where there is one.")
    static final class ListAll implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "ROSTER")
        private Path roster;

        @Option(names = "--json", description = "one JSON object for each member")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            for (Roster.Entry e : Roster.read(roster).all()) {
                String ranges = String.join(
                        ",", e.ranges().stream().map(Object::toString).toList());
                if (json) {
                    out.printf(
                            "{\"name\":\"%s\",\"from\":\"%s\",\"keys\":[\"%s\"]}%n",
                            e.name(), ranges, String.join("\",\"", e.keyTexts()));
                } else {
                    out.printf("%-20s %-30s %s%n", e.name(), ranges, String.join(" ", e.keyTexts()));
                }
            }
            return 0;
        }
    }
}
