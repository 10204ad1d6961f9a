package elderseam.gossip;

/** What one member says of another, or of itself. {@code from}: who suspects or declares dead; itself otherwise. */
public record Rumour(String member, String address, Standing standing, long incarnation, String from) {}
