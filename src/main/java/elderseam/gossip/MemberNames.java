package elderseam.gossip;

/** Validates members' names, both in packets and in settings. */
public final class MemberNames {
    /** Maximum number of characters of a name. */
    static final int MAX_LENGTH = 64;

    private MemberNames() {}

    /** Returns whether the text is a valid member name: 1 to 64 characters of {@code A-Za-z0-9._-}. */
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
