-- Guards against a repair that leaves the log exposed to the next loss.
cluster{voters = 3, standbys = 1, seed = 13}
expect_within(3, function() return leader() end, "a first leader")
run(2)
local first = leader() == "e1" and "e2" or "e1"
lose_disk(first)
expect_within(8, function() return voters() == 3 and member("e4") == "voter" end,
  "the standby replaces the lost voter")
-- The other voters learn of the promotion one message delay after the leader.
run(0.05)
local second = leader()
lose_disk(second)
local before = answers()
expect_within(4, function() return answers() > before + 10 end, "answers after the second loss")
restart(first)
expect_within(10, function() return voters() == 3 and member(first) == "voter" end,
  "the process with the lost disk is a voter under its new identity")
restart(second)
expect_within(8, function() return member(second) == "standby" end, "a standby is ready again")
