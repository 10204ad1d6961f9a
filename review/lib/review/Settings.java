package review;

/** Settings of a small deployment, in the form of the simulator's first message. */
final class Settings {
    /** The memory, descriptors and disk of a dispatcher. */
    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";

    private Settings() {}

    /** A class of messages, with the figures of windhoek-main for its times. */
    static String service(String name, String effect, String keyScope, long targetMs, long giveUpMs, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"keyScope\":\"" + keyScope
                + "\",\"giveUpNs\":" + giveUpMs + "000000,\"targetNs\":" + targetMs
                + "000000,\"lateWorth\":0.5,\"points\":1.0,\"windowNs\":" + windowMs + "000000}";
    }

    /** The settings of a deployment with these zones and classes. */
    static String of(int dispatchers, String zones, String services) {
        return "{\"flavors\":[\"bank\"],\"localities\":[" + zones + "],\"discovery\":\"ask\",\"weightKind\":\"nominal\","
                + "\"replicasOfMe\":" + dispatchers + ",\"zone\":0,"
                + "\"extra\":{\"callSlots\":32,\"fades\":\"line\",\"kindApart\":[false],\"batchByKind\":[1],"
                + "\"zoneFee\":[0.0]},"
                + "\"limits\":{\"connIdleNs\":15000000000,\"connectTimeoutNs\":1500000000,\"maxAttempts\":12,"
                + "\"maxRetryAfterNs\":3000000000,\"mayCancel\":true,\"mostHeld\":64,\"multiplex\":1,"
                + "\"secondCopies\":false},"
                + "\"orgs\":[{\"name\":\"hangang-runners\",\"quotaPerS\":100.0,\"share\":1.0}],"
                + "\"overShareWorth\":0.1,\"prices\":{\"handshake\":0.06,\"crossZone\":0.0},"
                + "\"safety\":{\"coldNs\":9200000000,\"coldShare\":0.21,\"drainGraceNs\":2000000000,"
                + "\"fallMultiple\":2.0,\"fallNs\":3000000000},"
                + "\"services\":[" + services + "],"
                + "\"telemetry\":{\"fields\":[\"x0\",\"x1\"],\"source\":\"piggyback\"}}";
    }
}
