# What each case's run.sh shares: play NAME plays the class review2.NAME for the case in $here. Exits with the case's
# verdict (1 broken, 0 held, 2 could not run), and removes the temporary folder.
play() {
    cd "$here/../.." || exit 2
    if [ ! -f "target/review-2/review2/$1.class" ] || [ ! -f target/elderseam.jar ]; then
        echo "not built: the deploy file's build and review/build-2.sh come first" >&2
        exit 2
    fi
    work=$(mktemp -d) || exit 2
    java -XX:+UseSerialGC -Xmx128m -cp target/review-2 "review2.$1" "$here" "$work"
    verdict=$?
    rm -rf "$work"
    case $verdict in
        0 | 1) exit "$verdict" ;;
        *) exit 2 ;;
    esac
}
