package elderseam.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the jar's manifest, for {@code --version}. */
final class ProgramVersion implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Commands.class.getPackage().getImplementationVersion();
        String shown = version == null ? "(not from a jar)" : version;
        return new String[] {"elderseam " + shown + ", Java " + Runtime.version()};
    }
}
