package elderseam.http;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Switches off what XNIO does at its start and nobody here uses: its MBeans and its greeting. It concerns the whole
 * process; {@link #configure} is called once, before other threads use XNIO.
 */
public final class XnioStartup {
    private static final String MBEAN_SERVER_BUILDER = "javax.management.builder.initial";

    /** A class that does not exist: XNIO then goes without MBeans. */
    private static final String NO_BUILDER = "none";

    /** Strong references, since java.util.logging forgets the level of a logger that is garbage-collected. */
    private static final List<Logger> QUIET_LOGGERS = new ArrayList<>();

    private static volatile boolean managementNeeded;

    private XnioStartup() {}

    /**
     * Must be called before the first {@link IoLoop} is created. The MBeans that XNIO registers start the JVM's whole
     * management (a fifth of the CPU time of a start, and 7 MB). An operator who asks for JMX on the command line still
     * has it, since that starts earlier.
     */
    public static void configure() {
        if (!managementNeeded
                && System.getProperty(MBEAN_SERVER_BUILDER) == null
                && System.getProperty("com.sun.management.jmxremote") == null) {
            System.setProperty(MBEAN_SERVER_BUILDER, NO_BUILDER);
        }
        for (String name : List.of("org.xnio", "org.jboss.threads", "io.undertow")) {
            Logger logger = Logger.getLogger(name);
            logger.setLevel(Level.WARNING);
            QUIET_LOGGERS.add(logger);
        }
    }

    /**
     * Must be called before a library is started that can't do without MBeans; XNIO has started without them by then.
     * A later {@link #configure} does not undo it.
     */
    public static void enableManagement() {
        managementNeeded = true;
        if (NO_BUILDER.equals(System.getProperty(MBEAN_SERVER_BUILDER))) {
            System.clearProperty(MBEAN_SERVER_BUILDER);
        }
    }
}
