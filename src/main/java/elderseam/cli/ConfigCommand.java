package elderseam.cli;

import elderseam.core.JsonValue;
import elderseam.settings.SettingKey;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code config}: what a settings file says. The subcommands on versions are in {@link VersionsCommand}. */
@Command(
        name = "config",
        description = "What the operator's settings say, and the versions that a fleet agrees on.",
        subcommands = {
            ConfigCommand.Check.class,
            ConfigCommand.Show.class,
            VersionsCommand.Propose.class,
            VersionsCommand.Status.class,
            VersionsCommand.Diff.class,
            VersionsCommand.Rollback.class
        })
final class ConfigCommand extends CommandGroup {
    @Command(
            name = "check",
            description = "Tells every fault of a settings file, a line each; exits with 1 where there is one.")
    static final class Check extends CommandBase {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Settings.read(file);
            out().println(file + ": no fault");
            return ExitCodes.OK;
        }
    }

    @Command(
            name = "show",
            description = "The values that count, where each comes from, and whether SIGHUP changes it.")
    static final class Show extends CommandBase {
        @Parameters(
                index = "0",
                arity = "0..1",
                paramLabel = "FILE",
                defaultValue = SettingKeys.FILE,
                description = "the operator's settings (${DEFAULT-VALUE})")
        private Path file;

        @Option(names = "--json", description = "one JSON object for each key")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            boolean fileIsGiven = spec().commandLine().getParseResult().hasMatchedPositional(0);
            Settings settings = !fileIsGiven && !Files.exists(file) ? Settings.none() : Settings.read(file);
            for (SettingKey<?> key : SettingKeys.ALL) {
                if (json) {
                    printJson(settings, key);
                } else {
                    printRow(settings, key);
                }
            }
            return ExitCodes.OK;
        }

        private void printJson(Settings settings, SettingKey<?> key) {
            out().printf(
                            "{\"key\":%s,\"value\":%s,\"from\":%s,\"live\":%s}%n",
                            JsonValue.quote(key.path()),
                            JsonValue.quote(settings.text(key)),
                            JsonValue.quote(settings.origin(key)),
                            key.reloadable());
        }

        private void printRow(Settings settings, SettingKey<?> key) {
            String value = settings.text(key);
            out().printf(
                            "%-34s %-24s %-30s %s%n",
                            key.path(),
                            value.isEmpty() ? "(empty)" : value,
                            settings.origin(key),
                            key.reloadable() ? "live" : "from the next start");
        }
    }
}
