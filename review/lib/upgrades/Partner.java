package upgrades;

import java.io.IOException;

/** One endpoint of a partner; what it does with a call is the case's. */
final class Partner {
    private final Http.Server server;
    private final String id;
    private final int destination;

    Partner(String id, int destination, Http.Handler handler) throws IOException {
        this.id = id;
        this.destination = destination;
        this.server = new Http.Server(handler);
    }

    String listEntry() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + server.address() + "\",\"zone\":\"wdh-1\",\"kind\":\"bank\",\"cell\":"
                + destination + ",\"state\":\"SERVING\",\"weight\":20.0,\"started_ms\":0}";
    }
}
