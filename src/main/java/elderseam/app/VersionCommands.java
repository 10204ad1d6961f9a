package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionContent;
import elderseam.fleet.config.VersionTable;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Answers an operator's CONFIG commands on the I/O thread. What takes time (reading a file, the group's agreement) is
 * only begun there; its result shows in a later CONFIG.
 */
final class VersionCommands {
    private static final EventLogger LOG = EventLogger.of(VersionCommands.class);

    private final LeaseGroup group;
    private final String member;
    private final ActiveVersion active;
    private final long boundMs;
    private final long leadMs;

    /** The last proposal made here that was refused, and why; empty where the last one was not. */
    private volatile String refusal = "";

    /**
     * Answers for this member.
     *
     * @param boundMs how long a confirmation counts, in milliseconds
     * @param leadMs from the commit of a version to its effect, in milliseconds
     */
    VersionCommands(LeaseGroup group, String member, ActiveVersion active, long boundMs, long leadMs) {
        this.group = group;
        this.member = member;
        this.active = active;
        this.boundMs = boundMs;
        this.leadMs = leadMs;
    }

    CommandResult answer(OperatorCommand.Config command) {
        LeaseStateMachine.VersionView applied = group.localVersions();
        if (command instanceof OperatorCommand.ConfigDiff diff) {
            return diff(applied, diff.fromVersion(), diff.toVersion());
        }
        if (command instanceof OperatorCommand.ConfigPropose proposal) {
            return proposeFile(proposal);
        }
        if (command instanceof OperatorCommand.ConfigRollback rollback) {
            return rollBack(applied, rollback);
        }
        return CommandResult.accepted("config", status(applied)); // ConfigStatus
    }

    private CommandResult rollBack(LeaseStateMachine.VersionView applied, OperatorCommand.ConfigRollback command) {
        Optional<ConfigurationVersion> target = find(applied, command.version());
        if (target.isEmpty()) {
            return notKept(command.version());
        }
        ConfigurationVersion version = target.get();
        String note = "back to " + command.version() + ": " + command.note();
        propose(applied.latest().number(), note, version.fileContents());
        return asked(version.shortHash());
    }

    private static Optional<ConfigurationVersion> find(LeaseStateMachine.VersionView applied, long number) {
        if (number == 0) {
            return Optional.of(ConfigurationVersion.NONE);
        }
        return applied.committed().stream()
                .filter(version -> version.number() == number)
                .findFirst();
    }

    private static CommandResult notKept(long number) {
        return CommandResult.rejected("version " + number + " is not kept");
    }

    private static CommandResult diff(LeaseStateMachine.VersionView applied, long fromNumber, long toNumber) {
        Optional<ConfigurationVersion> from = find(applied, fromNumber);
        if (from.isEmpty()) {
            return notKept(fromNumber);
        }
        Optional<ConfigurationVersion> to = find(applied, toNumber);
        if (to.isEmpty()) {
            return notKept(toNumber);
        }
        return CommandResult.accepted("diff", VersionContent.diff(from.get(), to.get()));
    }

    /** Reads the operator's file on a thread of the common pool. */
    private CommandResult proposeFile(OperatorCommand.ConfigPropose command) {
        var unused = CompletableFuture.runAsync(() -> readAndPropose(command));
        return asked(command.hash());
    }

    /** The command's hash is of what the operator's tool read: a file that has changed since is not proposed. */
    private void readAndPropose(OperatorCommand.ConfigPropose command) {
        try {
            Map<String, String> texts = VersionContent.read(Path.of(command.path()));
            String hash = ConfigurationVersion.shortHash(texts);
            if (hash.equals(command.hash())) {
                propose(command.parentVersion(), command.note(), texts);
            } else {
                refuse(command.hash(), command.path() + " holds " + hash + " by now");
            }
        } catch (IOException e) {
            refuse(command.hash(), VersionLabels.firstLine(e, "it can't be read"));
        }
    }

    private static CommandResult asked(String hash) {
        return CommandResult.accepted("asked " + hash + "; CONFIG tells what becomes of it");
    }

    private void propose(long parent, String note, Map<String, String> texts) {
        String hash = ConfigurationVersion.shortHash(texts);
        try {
            VersionTable.Command proposal = VersionTable.Command.propose(
                    member, parent, note, texts, group.memberNames().size(), boundMs, leadMs);
            var unused = group.submit(proposal).whenComplete((outcome, failure) -> onProposed(hash, outcome, failure));
        } catch (IllegalArgumentException | IOException e) {
            refuse(hash, e.getMessage());
        }
    }

    private void onProposed(String hash, VersionTable.Outcome outcome, Throwable failure) {
        if (failure != null) {
            refuse(hash, "not decided: " + failure.getMessage());
        } else if (!outcome.accepted()) {
            refuse(hash, outcome.refusalReason());
        } else {
            refusal = "";
            LOG.info("configuration.proposal_submitted", field("hash", hash));
        }
    }

    private void refuse(String hash, String why) {
        refusal = hash + " " + why;
        LOG.warn("configuration.proposal_refused", field("hash", hash), field("reason", why));
    }

    private List<String> status(LeaseStateMachine.VersionView applied) {
        List<String> lines = new ArrayList<>(active.statusLines());
        lines.add("latest=" + VersionLabels.numbered(applied.latest()));
        lines.add("pending=" + applied.pending().map(VersionLabels::numbered).orElse("none"));
        lines.add("ended=" + ended(applied.lastDecision()));
        lines.add("refused=" + (refusal.isEmpty() ? "none" : refusal));
        lines.add("fault=" + (active.fault().isEmpty() ? "none" : active.fault()));
        for (ConfigurationVersion version : applied.committed()) {
            lines.add("version=" + VersionLabels.numbered(version) + " from " + version.parent() + " by "
                    + version.author() + ": " + version.note());
        }
        lines.add("EOF");
        return lines;
    }

    private static String ended(VersionTable.Decision ended) {
        String hash = ended.hash().isEmpty() ? "none" : ConfigurationVersion.shorten(ended.hash());
        return ended.number() + " " + hash + " " + ended.refusalReason();
    }
}
