-- Guards against a wrong state after restarts with and without a snapshot of hundreds of changes.
for _, every in ipairs{0, 150} do
  cluster{voters = 3, standbys = 1, seed = 15, snapshot_every = every, clients = 16}
  expect_within(30, function() return answers() >= 1000 end, "a thousand changes")
  for i = 1, 4 do crash("e" .. i) end
  run(1)
  local before = answers()
  for i = 1, 4 do restart("e" .. i) end
  expect_within(4, function() return answers() > before + 20 end, "answers after a full restart")
  run(1)
  for i = 1, 4 do
    expect(applied("e" .. i) >= 1000, "e" .. i .. " has applied what was committed")
  end
end
