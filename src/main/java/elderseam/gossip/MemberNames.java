package elderseam.gossip;

/** The rule for members' names, in packets as in settings. */
public final class MemberNames {
    /** Most characters of a name. */
    static final int MAX_LENGTH = 64;

    private MemberNames() {}

    /** Whether the text may be a member's name: 1 to 64 of {@code A-Za-z0-9._-}. */
    public static boolean isValid(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isNameCharacter(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNameCharacter(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == '-';
    }
}
