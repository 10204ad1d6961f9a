package elderseam.http;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** What XNIO does of its own accord at a start, and nobody here reads. */
public final class XnioStartup {
    /** Held, since a logger that nobody holds forgets its level. */
    private static final List<Logger> QUIET = new ArrayList<>();

    private static volatile boolean manageable;

    private XnioStartup() {}

    /**
     * To be called before the first {@link IoLoop}. XNIO registers MBeans, for which the JVM's whole management starts (a fifth of
     * the CPU of a start, and 7 MB), and greets with its version. An operator who asks for JMX on the command line has it still:
     * that starts before.
     */
    public static void start() {
        if (!manageable
                && System.getProperty("javax.management.builder.initial") == null
                && System.getProperty("com.sun.management.jmxremote") == null) {
            System.setProperty("javax.management.builder.initial", "none");
        }
        for (String name : List.of("org.xnio", "org.jboss.threads", "io.undertow")) {
            Logger logger = Logger.getLogger(name);
            logger.setLevel(Level.WARNING);
            QUIET.add(logger);
        }
    }

    /** To be called before the start of an engine that does not begin without MBeans: what XNIO registers is spared by then. */
    public static void manageable() {
        manageable = true; // no later start in this process takes it back
        if ("none".equals(System.getProperty("javax.management.builder.initial"))) {
            System.clearProperty("javax.management.builder.initial");
        }
    }
}
