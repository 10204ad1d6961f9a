package review2;

/** An upgrade after a tenant was added to the configuration. */
final class NewTenantUpgrade {
    private NewTenantUpgrade() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        String lanes = Rig.lane("status-update", "repeatable", "all", 16_000, 0, false) + ","
                + Rig.lane("rent-payment", "once", "all", 28_000, 0, false);
        String before = Rig.settings("\"wdh-1\"", Rig.org("erongo-lettings", 0.6) + "," + Rig.org("khomas-homes", 0.4), lanes);
        String after = Rig.settings(
                "\"wdh-1\"",
                Rig.org("erongo-lettings", 0.5) + "," + Rig.org("khomas-homes", 0.3) + "," + Rig.org("oshana-rentals", 0.2),
                lanes);
        Endpoint bank = new Endpoint(rig.record, "bank", call -> Endpoint.Reply.ok(150));
        rig.platform.list("s-00000001", bank.address(), "wdh-1", "bank", 1, "SERVING");
        rig.configure(before);
        Dispatcher older = rig.start("older", "127.0.0.1:" + Rig.freePort(), "");
        if (!older.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        for (int i = 0; i < 5; i++) {
            rig.client.send("d00000000000000" + i, "rent-payment", "erongo-lettings", 1, 20_000, "", "");
        }
        rig.configure(rig.trouble ? after : before);
        rig.record.line("case", rig.trouble ? "the tenant oshana-rentals is new" : "the same tenants");
        Dispatcher newer = rig.start("newer", "127.0.0.1:" + Rig.freePort(), "");
        boolean yes = newer.awaitPing(12_000);
        boolean crashed = !newer.isAlive();
        rig.client.send("d000000000000009", "rent-payment", "erongo-lettings", 1, 20_000, "", "");
        Thread.sleep(1_500);
        if (crashed) {
            rig.end(Rig.BROKEN, "the newer process crashed with " + newer.exitValue());
        }
        rig.end(yes ? Rig.HELD : Rig.BROKEN, yes ? "the newer process serves" : "the newer process never said yes");
    }
}
