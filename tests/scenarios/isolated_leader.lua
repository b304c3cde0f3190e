-- Guards against two leaders: a silently isolated leader stops ordering before its successor.
cluster{voters = 3, standbys = 1, seed = 11}
expect_within(3, function() return leader() end, "a first leader")
run(2)
local old = leader()
isolate(old)
run(1.1)
expect(not lease(old), "the isolated leader has lost its lease after 1.1 s")
expect_within(1.9, function() return leader() ~= nil end, "a successor within 3 s")
expect(leader() ~= old, "the successor is another process")
local before = answers()
expect_within(2, function() return answers() > before + 10 end, "clients are answered again")
heal()
expect_within(2, function() return role(old) == "follower" and term(old) == term(leader()) end,
  "the old leader follows its successor")
