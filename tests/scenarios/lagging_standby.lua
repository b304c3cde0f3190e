-- Guards against promoting a standby that has not caught up, and against a snapshot transfer that
-- never ends on a lossy network.
cluster{voters = 3, standbys = 1, seed = 16, snapshot_every = 100, clients = 16, repair = false}
expect_within(3, function() return leader() end, "a first leader")
run(0.5)
expect(propose(leader(), "add-standby", "e4") == "accepted", "the standby is added")
crash("e4")
run(0.5)
expect(propose(leader(), "promote", "e4") == "not-caught-up", "a stopped standby is not promoted")
expect_within(30, function() return answers() > 1000 end, "the log was compacted meanwhile")
network{drop = 0.2, duplicate = 0.2, late = 0.05}
restart("e4")
expect_within(15, function() return snapshots_installed("e4") > 0 end, "the standby gets a snapshot")
network{}
run(2)
expect(propose(leader(), "promote", "e4") == "confirming", "the voters are asked")
expect_within(1, function() return member("e4") == "voter" end, "the promotion is committed")
expect(propose(leader(), "add-voter", "e4") ~= "accepted", "nobody becomes a voter directly")
